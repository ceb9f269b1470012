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
    /// Logs \a event with \a fields.
    static void event(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});
};

/// \returns \a text as a JSON string, quotes included; bytes that are not UTF-8 are replaced
std::string quoteJson(std::string_view text);

} // namespace pimentopoint
