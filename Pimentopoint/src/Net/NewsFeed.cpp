#include "NewsFeed.h"

#include "../Core/Log.h"
#include "../Serve/NewsFormat.h"

namespace pimentopoint {

namespace {

    /// Parts of the time in which news must be known: a watch at the store, one at another host, and its answer. A host that
    /// falls silent costs its readers the latter two and one read of the store.
    constexpr double storeWatchUse = 0.45;
    constexpr double storeSlackUse = 0.17;
    constexpr double gatherUse = 0.1; ///< Between two watches after news: each call to the store has a price.
    constexpr double hostWatchUse = 0.25;
    constexpr double hostSlackUse = 0.12;
    /// After which what is known here may be old: a watch, its slack and a way.
    constexpr double freshUse = 0.75;
    constexpr std::size_t mostReaders = 512; ///< Hosts of a data centre at the largest size, several times over.
    constexpr Duration forgetInterval = std::chrono::seconds(5);
    constexpr unsigned unavailable = 503;
    constexpr unsigned badRequest = 400;
    constexpr Duration retryAfter = std::chrono::seconds(1);

    StoreTiming timing(Duration newsTime)
    {
        StoreTiming timing;
        timing.watchWait = scaled(newsTime, storeWatchUse);
        timing.watchSlack = scaled(newsTime, storeSlackUse);
        timing.gatherTime = scaled(newsTime, gatherUse);
        return timing;
    }

} // namespace

NewsFeed::NewsFeed(boost::asio::io_context& context, const Clock& clock, Metrics& metrics, MemberRecord self, Options options, Hooks hooks)
    : m_context(context)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_follower("", timing(m_options.newsTime), m_options.seed)
    , m_source(std::move(self))
    , m_server(context, clock, m_dialect, m_options.listen, mostReaders,
          { [this](CallId call, const std::shared_ptr<const CallerRequest>& request) { this->request(call, *request); }, [this](CallId call) { m_waiting.erase(call); },
              [] { return CallerLimits(); } })
{
}

void NewsFeed::tick()
{
    Instant now = m_clock.now();
    follow();
    replyToWaiting(now);
    if (now >= m_nextForget) {
        m_nextForget = now + forgetInterval;
        m_mirror.forget(now);
        m_server.check(now);
    }
}

HttpReader& NewsFeed::reader(const NewsSource::Choice& choice)
{
    auto& reader = m_readers[choice.host.value_or(Endpoint())];
    if (!reader)
        reader = std::make_shared<HttpReader>(m_context, choice.host.value_or(m_options.store));
    return *reader;
}

void NewsFeed::follow()
{
    Instant now = m_clock.now();
    auto read = m_follower.begin(now);
    if (!read)
        return;
    NewsSource::Choice choice = m_source.choose(now);
    if (choice.host) {
        if (read->kind == StoreRead::Kind::Watch) {
            read->wait = scaled(m_options.newsTime, hostWatchUse);
            read->timeout = read->wait + scaled(m_options.newsTime, hostSlackUse);
        }
    }
    m_metrics.add("pimentopoint_news_reads_total", choice.host ? "source=\"host\"" : "source=\"store\"");
    reader(choice).get(choice.host ? newsPath(*read) : m_hooks.storePath(*read), read->timeout,
        [this, choice, read = *read](const HttpReader::Result& answer) { answered(choice, read, answer); });
}

void NewsFeed::answered(const NewsSource::Choice& choice, const StoreRead& read, const HttpReader::Result& answer)
{
    Instant now = m_clock.now();
    StoreResult result;
    if (!answer.status)
        result.cause = answer.cause;
    else
        result = choice.host ? decodeNews(answer.status, answer.body) : m_hooks.storeResult(read, answer.status, answer.body);
    bool failed = result.kind == StoreResult::Kind::Failed;
    if (failed)
        m_source.failed(choice, now);
    else
        m_source.succeeded(choice);
    if (!failed && !choice.host)
        m_storeAnsweredAt = now;
    if (failed != m_lost) {
        m_lost = failed;
        Log::event(failed ? Severity::Warning : Severity::Info, failed ? "news-source-lost" : "news-source-regained",
            { { "source", choice.host ? choice.host->text() : "store" }, { "cause", failed ? result.cause : "a read was answered" }, { "revision", m_follower.revision() } });
    }
    StoreNews news = m_follower.finish(std::move(result), now);
    std::vector<StoreItem> fresh = m_mirror.take(news, m_follower.revision(), now);
    if (!fresh.empty() || news.allKeys)
        m_hooks.news(fresh);
    replyToWaiting(now);
    follow();
}

bool NewsFeed::fresh(Instant now) const
{
    return m_storeAnsweredAt && now - *m_storeAnsweredAt < scaled(m_options.newsTime, freshUse) && !m_lost;
}

void NewsFeed::request(CallId call, const CallerRequest& request)
{
    auto read = readOfNewsPath(request.target);
    if (!read) {
        CallerAnswer answer;
        answer.status = badRequest;
        m_server.answer(call, answer);
        return;
    }
    Instant now = m_clock.now();
    // Everything is given even when it may be old: whoever asks knows nothing and can't reach the store.
    if (!m_mirror.complete() || (read->kind == StoreRead::Kind::Watch && !fresh(now))) {
        refuse(call, "what is known here may be old");
        return;
    }
    if (m_mirror.hasNews(*read))
        reply(call, *read);
    else
        m_waiting[call] = { *read, now + read->wait };
}

void NewsFeed::reply(CallId call, const StoreRead& read)
{
    CallerAnswer answer;
    answer.status = 200;
    answer.body = encodeNews(m_mirror.answer(read));
    m_server.answer(call, answer);
}

void NewsFeed::refuse(CallId call, const char* cause)
{
    CallerAnswer answer;
    answer.status = unavailable;
    answer.retryAfter = retryAfter;
    answer.body = cause;
    m_server.answer(call, answer);
}

void NewsFeed::replyToWaiting(Instant now)
{
    std::vector<CallId> due;
    for (const auto& [call, waiting] : m_waiting) {
        if (m_mirror.hasNews(waiting.read) || now >= waiting.until || !fresh(now))
            due.push_back(call);
    }
    for (CallId call : due) {
        StoreRead read = m_waiting[call].read;
        m_waiting.erase(call);
        if (fresh(now))
            reply(call, read);
        else
            refuse(call, "what is known here may be old");
    }
}

} // namespace pimentopoint
