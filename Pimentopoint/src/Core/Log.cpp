#include "Log.h"

#include "LineWriter.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace pimentopoint {

namespace {

    std::string utcNow()
    {
        using namespace std::chrono;
        auto now = system_clock::now();
        std::time_t seconds = system_clock::to_time_t(now);
        auto millisecond = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm calendarTime {};
        gmtime_r(&seconds, &calendarTime);
        char toSeconds[32];
        std::strftime(toSeconds, sizeof toSeconds, "%FT%T", &calendarTime);
        char timestamp[48];
        std::snprintf(timestamp, sizeof timestamp, "%s.%03dZ", toSeconds, static_cast<int>(millisecond));
        return timestamp;
    }

    class JsonSink : public google::LogSink {
    public:
        JsonSink(const MemberName& host, const DataCentreName& dataCentre, LineWriter* writer)
            : m_writer(writer)
            , m_origin("\"host\":" + quoteJson(host.value()) + ",\"dataCentre\":" + quoteJson(dataCentre.value()))
        {
        }

        void send(google::LogSeverity severity, const char*, const char*, int, const google::LogMessageTime&, const char* message,
            std::size_t length) override
        {
            constexpr const char* levels[] = { "info", "warning", "error", "fatal" };
            std::string line = "{\"time\":\"" + utcNow() + "\",\"level\":\"" + levels[severity] + "\"," + m_origin + ",";
            std::string_view text(message, length);
            bool structured = text.starts_with("\"event\":");
            line += structured ? std::string(text) : "\"event\":\"message\",\"text\":" + quoteJson(text);
            line += "}\n";
            if (m_writer)
                m_writer->write(line);
            else
                std::fwrite(line.data(), 1, line.size(), stderr);
        }

    private:
        LineWriter* m_writer;
        std::string m_origin;
    };

    JsonSink* installedSink = nullptr;
    LineWriter* installedWriter = nullptr;

    void install(const std::string& program, const MemberName& host, const DataCentreName& dataCentre, Severity minimum)
    {
        // Without TZ, the C library checks the time zone file again for each line that glog timestamps.
        setenv("TZ", ":/etc/localtime", 0);
        tzset();
        FLAGS_logtostderr = false;
        FLAGS_alsologtostderr = false;
        for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
            google::SetLogDestination(severity, "");
        FLAGS_stderrthreshold = google::NUM_SEVERITIES;
        FLAGS_minloglevel = static_cast<int>(minimum);
        static const std::string programName = program;
        google::InitGoogleLogging(programName.c_str());
        installedSink = new JsonSink(host, dataCentre, installedWriter);
        google::AddLogSink(installedSink);
    }

} // namespace

std::string quoteJson(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

LogField::LogField(std::string_view name, std::string_view value)
    : m_json(quoteJson(name) + ":" + quoteJson(value))
{
}

LogField::LogField(std::string_view name, std::uint64_t value)
    : m_json(quoteJson(name) + ":" + std::to_string(value))
{
}

void Log::start(const std::string& program, const MemberName& host, const DataCentreName& dataCentre, Severity minimum)
{
    install(program, host, dataCentre, minimum);
}

void Log::startNonBlocking(const std::string& program, const MemberName& host, const DataCentreName& dataCentre, Severity minimum)
{
    installedWriter = new LineWriter(STDOUT_FILENO);
    install(program, host, dataCentre, minimum);
}

void Log::flush()
{
    if (installedWriter)
        installedWriter->flush();
}

std::uint64_t Log::dropped()
{
    return installedWriter ? installedWriter->dropped() : 0;
}

void Log::event(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!installedSink)
        return;
    std::string text = "\"event\":" + quoteJson(event);
    for (const LogField& field : fields)
        text += "," + field.json();
    google::LogMessage(__FILE__, __LINE__, static_cast<google::LogSeverity>(severity)).stream() << text;
}

} // namespace pimentopoint
