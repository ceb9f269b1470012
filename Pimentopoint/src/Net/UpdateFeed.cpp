#include "UpdateFeed.h"

#include "../Core/Log.h"
#include "../Serve/UpdateFormat.h"

namespace pimentopoint {

namespace {

    /// Fractions of the maximum update delay: a watch waits for updates for the watch fraction, and its reply may take the margin fraction longer.
    /// When a host becomes unresponsive, its readers lose a watch at that host, its margin and the time of one read of the store.
    constexpr double storeWatchFraction = 0.45;
    constexpr double storeMarginFraction = 0.17;
    constexpr double batchFraction = 0.1; ///< Interval between two watches after an update; limits the calls to the store, each of which has a cost.
    constexpr double hostWatchFraction = 0.25;
    constexpr double hostMarginFraction = 0.12;
    /// Fraction after which the known state may be outdated: a watch, its margin and the network delay.
    constexpr double freshFraction = 0.75;
    constexpr std::size_t maxReaders = 512; ///< Several times the number of hosts in the largest data centre.
    constexpr Duration cleanupInterval = std::chrono::seconds(5);
    constexpr unsigned unavailable = 503;
    constexpr unsigned badRequest = 400;
    constexpr Duration retryAfter = std::chrono::seconds(1);

    StoreTiming timing(Duration maxUpdateDelay)
    {
        StoreTiming timing;
        timing.watchWait = scaled(maxUpdateDelay, storeWatchFraction);
        timing.watchMargin = scaled(maxUpdateDelay, storeMarginFraction);
        timing.batchInterval = scaled(maxUpdateDelay, batchFraction);
        return timing;
    }

} // namespace

UpdateFeed::UpdateFeed(boost::asio::io_context& context, const Clock& clock, Metrics& metrics, MemberRecord self, Options options, Hooks hooks)
    : m_context(context)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_follower("", timing(m_options.maxUpdateDelay), m_options.seed)
    , m_source(std::move(self))
    , m_server(context, clock, m_headerNames, m_options.listen, maxReaders,
          { [this](CallId call, const std::shared_ptr<const CallerRequest>& request) { this->handleRequest(call, *request); }, [this](CallId call) { m_waiting.erase(call); },
              [] { return CallerLimits(); } })
{
}

void UpdateFeed::tick()
{
    Instant now = m_clock.now();
    startRead();
    replyToWaiting(now);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + cleanupInterval;
        m_mirror.removeExpired(now);
        m_server.enforceTimeouts(now);
    }
}

HttpReader& UpdateFeed::reader(const UpdateSource::Choice& choice)
{
    auto& reader = m_readers[choice.host.value_or(Endpoint())];
    if (!reader)
        reader = std::make_shared<HttpReader>(m_context, choice.host.value_or(m_options.store));
    return *reader;
}

void UpdateFeed::startRead()
{
    Instant now = m_clock.now();
    auto read = m_follower.beginRead(now);
    if (!read)
        return;
    UpdateSource::Choice choice = m_source.choose(now);
    if (choice.host) {
        if (read->kind == StoreRead::Kind::Watch) {
            read->wait = scaled(m_options.maxUpdateDelay, hostWatchFraction);
            read->timeout = read->wait + scaled(m_options.maxUpdateDelay, hostMarginFraction);
        }
    }
    m_metrics.add("pimentopoint_news_reads_total", choice.host ? "source=\"host\"" : "source=\"store\"");
    reader(choice).get(choice.host ? updatePath(*read) : m_hooks.storePath(*read), read->timeout,
        [this, choice, read = *read](const HttpReader::Result& response) { handleResponse(choice, read, response); });
}

void UpdateFeed::handleResponse(const UpdateSource::Choice& choice, const StoreRead& read, const HttpReader::Result& response)
{
    Instant now = m_clock.now();
    StoreResult result;
    if (!response.status)
        result.cause = response.cause;
    else
        result = choice.host ? decodeUpdates(response.status, response.body) : m_hooks.storeResult(read, response.status, response.body);
    bool failed = result.kind == StoreResult::Kind::Failed;
    if (failed)
        m_source.recordFailure(choice, now);
    else
        m_source.recordSuccess(choice);
    if (!failed && !choice.host)
        m_storeAnsweredAt = now;
    if (failed != m_sourceLost) {
        m_sourceLost = failed;
        Log::event(failed ? Severity::Warning : Severity::Info, failed ? "news-source-lost" : "news-source-regained",
            { { "source", choice.host ? choice.host->text() : "store" }, { "cause", failed ? result.cause : "a read succeeded" }, { "revision", m_follower.revision() } });
    }
    StoreUpdate update = m_follower.handleResult(std::move(result), now);
    std::vector<StoreItem> items = m_mirror.apply(update, m_follower.revision(), now);
    if (!items.empty() || update.allKeys)
        m_hooks.updates(items);
    replyToWaiting(now);
    startRead();
}

bool UpdateFeed::isFresh(Instant now) const
{
    return m_storeAnsweredAt && now - *m_storeAnsweredAt < scaled(m_options.maxUpdateDelay, freshFraction) && !m_sourceLost;
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
    Instant now = m_clock.now();
    // A full read gets a reply even if the known state may be outdated: the reader has no state at all and can't reach the store.
    if (!m_mirror.complete() || (read->kind == StoreRead::Kind::Watch && !isFresh(now))) {
        refuse(call, "what is known here may be old");
        return;
    }
    if (m_mirror.hasUpdates(*read))
        reply(call, *read);
    else
        m_waiting[call] = { *read, now + read->wait };
}

void UpdateFeed::reply(CallId call, const StoreRead& read)
{
    CallerAnswer answer;
    answer.status = 200;
    answer.body = encodeUpdates(m_mirror.answer(read));
    m_server.answer(call, answer);
}

void UpdateFeed::refuse(CallId call, const char* cause)
{
    CallerAnswer answer;
    answer.status = unavailable;
    answer.retryAfter = retryAfter;
    answer.body = cause;
    m_server.answer(call, answer);
}

void UpdateFeed::replyToWaiting(Instant now)
{
    std::vector<CallId> due;
    for (const auto& [call, waiting] : m_waiting) {
        if (m_mirror.hasUpdates(waiting.read) || now >= waiting.expiresAt || !isFresh(now))
            due.push_back(call);
    }
    for (CallId call : due) {
        StoreRead read = m_waiting[call].read;
        m_waiting.erase(call);
        if (isFresh(now))
            reply(call, read);
        else
            refuse(call, "what is known here may be old");
    }
}

} // namespace pimentopoint
