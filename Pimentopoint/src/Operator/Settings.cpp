#include "Settings.h"

#include "DocumentReader.h"
#include "DocumentStructure.h"
#include "InvalidDocument.h"

namespace pimentopoint {

namespace {

    constexpr std::uint64_t maxThreads = 512;
    constexpr std::uint64_t defaultThreads = 64;

} // namespace

Settings Settings::read(const std::string& text, const std::string& source)
{
    Problems problems = internal::checkStructure(text);
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    internal::DocumentReader root(YAML::Load(text), "", problems);
    root.allowKeys({ "name", "dataCentre", "listen", "members", "platform", "logLevel", "threads" });
    Settings settings;
    settings.m_name = MemberName(root.text("name"));
    settings.m_dataCentre = DataCentreName(root.text("dataCentre"));
    root.section("listen", [&](internal::DocumentReader& listen) {
        listen.allowKeys({ "http", "tcp", "udp" });
        settings.m_http = listen.endpoint("http");
        settings.m_tcp = listen.endpoint("tcp");
        settings.m_udp = listen.endpoint("udp");
    });
    root.forEachScalar("members", [&](const std::string& value, int line, const std::string& path) {
        auto endpoint = Endpoint::parse(value);
        if (endpoint)
            settings.m_seeds.push_back(*endpoint);
        else
            problems.emplace_back(line, path, value, "an IPv4 address and a port, such as 127.0.0.1:8100");
    });
    settings.m_platform = root.endpoint("platform");
    settings.m_logLevel = static_cast<int>(root.choice("logLevel", { "info", "warning", "error" }, 0));
    settings.m_threads = static_cast<unsigned>(root.number("threads", 1, maxThreads, defaultThreads));
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    return settings;
}

} // namespace pimentopoint
