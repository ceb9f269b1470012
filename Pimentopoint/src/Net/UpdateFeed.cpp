#include "UpdateFeed.h"

#include "../Core/Log.h"
#include "../Serve/UpdateFormat.h"
#include "HostHeaders.h"
#include "HttpText.h"

namespace pimentopoint {

namespace {

    constexpr std::size_t maxReaders = 512; ///< Several times the number of hosts that read updates and member lists from one host.
    constexpr Duration timeoutCheckInterval = std::chrono::seconds(5);
    constexpr unsigned statusOk = 200;
    constexpr unsigned unavailable = 503;
    constexpr unsigned badRequest = 400;
    constexpr Duration retryAfter = std::chrono::seconds(1);
    constexpr Duration second = std::chrono::seconds(1);
    /// Limit on the log lines about failed reads per second; the search for a source tries a few of them a second.
    constexpr unsigned maxFailureLinesPerSecond = 10;

    std::string sourceText(const UpdateSource::Choice& source) { return source.host ? source.host->text() : "store"; }

    std::optional<Duration> durationHeader(const HttpReader::Result& response, std::string_view name)
    {
        return parseMicroseconds(headerValue(response.headers, name));
    }

    std::optional<ReplyAge> ageOf(const HttpReader::Result& response)
    {
        auto age = durationHeader(response, host_headers::age);
        // Hosts of earlier versions don't state for how long they held a read.
        return age ? std::optional(ReplyAge { *age, durationHeader(response, host_headers::held).value_or(Duration(0)) }) : std::nullopt;
    }

    /// \returns the result in another host's reply; one without an era, from a host of an earlier version, has the earliest
    StoreResult hostResult(const HttpReader::Result& response)
    {
        StoreResult result = decodeUpdates(response.status, response.body);
        result.era = StoreEra(parseNumber(headerValue(response.headers, host_headers::storeEra)).value_or(0));
        return result;
    }

    std::string headerLine(std::string_view name, const std::string& value) { return std::string(name) + ": " + value + "\r\n"; }

} // namespace

UpdateFeed::UpdateFeed(boost::asio::io_context& context, const Clock& clock, Metrics& metrics, const MemberRecord& self, Options options, Hooks hooks)
    : m_context(context)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_relay(self, m_options.maxUpdateDelay, m_options.seed)
    , m_server(context, clock, m_headerNames, m_options.listen, maxReaders,
          { [this](CallId call, const std::shared_ptr<const CallerRequest>& request) { this->handleRequest(call, *request); }, [this](CallId call) { m_relay.handleReaderDisconnected(call); },
              [] { return CallerLimits(); } })
{
}

void UpdateFeed::tick()
{
    UpdateActions actions;
    m_relay.tick(m_clock.now(), actions);
    perform(std::move(actions));
    if (m_clock.now() >= m_nextTimeoutCheck) {
        m_nextTimeoutCheck = m_clock.now() + timeoutCheckInterval;
        m_server.enforceTimeouts(m_clock.now());
    }
}

void UpdateFeed::perform(UpdateActions actions)
{
    for (const UpdateActions::FailedRead& each : actions.failedReads)
        logFailure(each);
    if (actions.sourceChange) {
        bool lost = actions.sourceChange->lost;
        Log::event(lost ? Severity::Warning : Severity::Info, lost ? "news-source-lost" : "news-source-regained",
            { { "source", sourceText(actions.sourceChange->source) }, { "cause", actions.sourceChange->cause }, { "revision", m_relay.revision() } });
    }
    if (actions.eraChange) {
        const UpdateActions::EraChange& change = *actions.eraChange;
        m_metrics.add("pimentopoint_store_returns_total", "");
        Log::event(Severity::Warning, "store-returned",
            { { "source", sourceText(change.source) }, { "previousEra", change.previousEra }, { "era", change.era }, { "knownRevision", change.knownRevision }, { "revision", change.revision } });
    }
    if (actions.outdatedListing) {
        m_metrics.add("pimentopoint_news_outdated_listings_total", "");
        Log::event(Severity::Info, "news-listing-outdated",
            { { "source", sourceText(actions.outdatedListing->source) }, { "knownRevision", actions.outdatedListing->knownRevision }, { "revision", actions.outdatedListing->revision } });
    }
    if (actions.updated) {
        m_previousAge = actions.previousAge;
        m_hooks.updates(actions.items);
    }
    for (const UpdateActions::Reply& each : actions.replies)
        reply(each);
    for (const UpdateActions::Read& each : actions.reads)
        startRead(each);
}

void UpdateFeed::logFailure(const UpdateActions::FailedRead& failure)
{
    m_metrics.add("pimentopoint_news_reads_failed_total", failure.source.host ? "source=\"host\"" : "source=\"store\"");
    if (m_clock.now() >= m_nextFailureLines) {
        m_nextFailureLines = m_clock.now() + second;
        m_failureLinesLeft = maxFailureLinesPerSecond;
        if (m_failureLinesDropped)
            Log::event(Severity::Warning, "news-lines-left-out", { { "count", std::exchange(m_failureLinesDropped, 0) }, { "cause", "limit on logged reads per second" } });
    }
    if (!m_failureLinesLeft) {
        ++m_failureLinesDropped;
        return;
    }
    --m_failureLinesLeft;
    auto microseconds = [](Duration duration) { return static_cast<std::uint64_t>(duration.count()); };
    Log::event(Severity::Info, "news-read-failed",
        { { "source", sourceText(failure.source) }, { "cause", failure.cause }, { "tookMicroseconds", microseconds(failure.elapsed) },
            { "ageMicroseconds", failure.age ? std::to_string(failure.age->count()) : "unknown" } });
}

std::shared_ptr<HttpReader> UpdateFeed::takeReader(const UpdateSource::Choice& source)
{
    // A connection on which a reply is still due carries no other read, so another one is opened.
    auto idle = m_idleReaders.find(source.host.value_or(Endpoint()));
    if (idle == m_idleReaders.end())
        return std::make_shared<HttpReader>(m_context, source.host.value_or(m_options.store));
    std::shared_ptr<HttpReader> reader = std::move(idle->second);
    m_idleReaders.erase(idle);
    return reader;
}

void UpdateFeed::startRead(const UpdateActions::Read& each)
{
    const UpdateSource::Choice& source = each.source;
    m_metrics.add("pimentopoint_news_reads_total", source.host ? "source=\"host\"" : "source=\"store\"");
    auto& reader = m_activeReaders[each.number] = takeReader(source);
    if (source.host)
        reader->setHeaders(each.read.era ? headerLine(host_headers::storeEra, std::to_string(each.read.era->value())) : "", "");
    reader->get(source.host ? updatePath(each.read) : m_hooks.storePath(each.read), each.read.timeout, [this, read = each](const HttpReader::Result& response) {
        auto active = m_activeReaders.extract(read.number);
        if (response.status)
            m_idleReaders[read.source.host.value_or(Endpoint())] = std::move(active.mapped());
        handleResponse(read, response);
    });
}

void UpdateFeed::handleResponse(const UpdateActions::Read& read, const HttpReader::Result& response)
{
    StoreResult result;
    if (!response.status)
        result.cause = response.cause;
    else
        result = read.source.host ? hostResult(response) : m_hooks.storeResult(read.read, response);
    if (result.unreadableItems) {
        m_metrics.add("pimentopoint_news_unreadable_items_total", "", result.unreadableItems);
        Log::event(Severity::Warning, "news-items-unreadable", { { "source", sourceText(read.source) }, { "count", std::uint64_t(result.unreadableItems) }, { "cause", result.cause } });
    }
    UpdateActions actions;
    m_relay.handleResult(read.number, std::move(result), ageOf(response), m_clock.now(), actions);
    perform(std::move(actions));
}

void UpdateFeed::handleRequest(CallId call, const CallerRequest& request)
{
    auto read = parseUpdatePath(request.requestTarget);
    if (!read) {
        auto answer = m_hooks.otherRequest(request.requestTarget);
        if (!answer) {
            answer.emplace();
            answer->status = badRequest;
        }
        m_server.answer(call, *answer);
        return;
    }
    for (const auto& [name, value] : request.headers) {
        auto era = equalsIgnoringCase(name, host_headers::storeEra) ? parseNumber(value) : std::nullopt;
        if (era)
            read->era = StoreEra(*era);
    }
    UpdateActions actions;
    m_relay.handleRead(call, *read, m_clock.now(), actions);
    perform(std::move(actions));
}

void UpdateFeed::reply(const UpdateActions::Reply& reply)
{
    CallerAnswer answer;
    if (reply.result.kind == StoreResult::Kind::Failed) {
        answer.status = unavailable;
        answer.retryAfter = retryAfter;
        answer.body = reply.result.cause;
    } else {
        answer.status = statusOk;
        answer.body = encodeUpdates(reply.result);
        answer.headers.emplace_back(host_headers::age, std::to_string(reply.age.age.count()));
        answer.headers.emplace_back(host_headers::storeEra, std::to_string(reply.result.era.value()));
        answer.headers.emplace_back(host_headers::held, std::to_string(reply.age.held.count()));
    }
    m_server.answer(reply.reader, answer);
}

} // namespace pimentopoint
