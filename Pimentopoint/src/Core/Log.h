#pragma once

#include "Ids.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pimentopoint {

/// Severity of a logged event.
enum class Severity {
    Info,
    Warning,
    Error,
};

/// \class LogField
/// \ingroup Core
/// \brief A field of a log event: a name and a value.
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
/// \brief Structured log of this process: writes JSON lines through glog to standard error or standard output, never to files.
class Log {
public:
    /// Initializes glog with the JSON sink and logs events of severity \a minimum and above to standard error.
    /// Must be called once, before any thread logs.
    static void start(const std::string& program, const MemberName& host, const DataCentreName& dataCentre, Severity minimum);
    /// Like start(), but writes to standard output without blocking; lines that exceed the buffer are dropped and counted.
    static void startNonBlocking(const std::string& program, const MemberName& host, const DataCentreName& dataCentre, Severity minimum);
    /// Writes buffered lines until standard output would block; has no effect after start().
    static void flush();
    /// \returns the number of lines dropped since the start
    static std::uint64_t dropped();
    /// Logs \a event with \a fields; has no effect before start() or startNonBlocking().
    static void event(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});
};

/// \returns \a text as a JSON string with quotes; invalid UTF-8 is replaced
std::string quoteJson(std::string_view text);

} // namespace pimentopoint
