#pragma once

#include "Ids.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pimentopoint {

/// How grave a logged event is.
enum class Severity {
    Info,
    Warning,
    Error,
};

/// \class LogField
/// \ingroup Core
/// \brief A name and a value in a log line.
class LogField {
public:
    LogField(std::string_view name, std::string_view value);
    LogField(std::string_view name, const char* value)
        : LogField(name, std::string_view(value))
    {
    }
    LogField(std::string_view name, std::uint64_t value);
    template <typename Tag, typename Representation>
    LogField(std::string_view name, const StrongValue<Tag, Representation>& value)
        : LogField(name, value.value())
    {
    }

    /// \returns the field as a JSON member
    const std::string& json() const { return m_json; }

private:
    std::string m_json;
};

/// \class Log
/// \ingroup Core
/// \brief Structured log of this process: JSON lines on standard error through glog. No file is ever written.
class Log {
public:
    /// Starts glog with the JSON sink; call once, before any thread logs.
    static void start(const std::string& program, const MemberName& host, const DataCentreName& dataCentre, Severity least);
    /// Like start(), but writes to standard output without ever blocking: lines that find it full are counted and left out.
    static void startNonBlocking(const std::string& program, const MemberName& host, const DataCentreName& dataCentre, Severity least);
    /// Writes what waits, as far as standard output takes it.
    static void flush();
    /// \returns the lines left out since the start
    static std::uint64_t dropped();
    /// Logs \a event with \a fields.
    static void event(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});
};

/// \returns \a text as a JSON string, quotes included; bytes that are not UTF-8 are replaced
std::string quoteJson(std::string_view text);

} // namespace pimentopoint
