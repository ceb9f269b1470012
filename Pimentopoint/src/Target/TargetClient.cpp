#include "TargetClient.h"

#include "../Core/util/Constants.h"
#include "TargetProtocol.h"

#include <algorithm>
#include <curl/curl.h>

namespace pimentopoint {

namespace {

    constexpr Duration connectTimeout = std::chrono::milliseconds(250);
    constexpr Duration cancelTimeout = std::chrono::milliseconds(200);
    /// A dispatch that waited longer for this thread was queued before a pause of the process; it is dropped unsent.
    constexpr Duration maxQueueTime = std::chrono::milliseconds(100);
    constexpr int pollTimeoutMilliseconds = 1000;
    /// Maximum number of idle easy handles kept for reuse.
    constexpr std::size_t maxIdleHandles = 512;
    constexpr long maxOpenConnections = 8192;

    long ceilMilliseconds(Duration duration)
    {
        return std::max(1L, static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count()));
    }

} // namespace

struct TargetClient::Transfer {
    CURL* easy = nullptr;
    bool search = true;
    Dispatch dispatch;
    std::string request;
    std::size_t requestOffset = 0;
    std::string reply;

    static std::size_t readRequest(char* buffer, std::size_t size, std::size_t count, void* context)
    {
        auto& transfer = *static_cast<Transfer*>(context);
        std::size_t length = std::min(size * count, transfer.request.size() - transfer.requestOffset);
        std::copy_n(transfer.request.data() + transfer.requestOffset, length, buffer);
        transfer.requestOffset += length;
        return length;
    }
    /// libcurl resends a request by itself when a reused connection ends, unless the body can't be rewound.
    static int refuseRewind(void*, curl_off_t, int) { return CURL_SEEKFUNC_FAIL; }
    static std::size_t appendReply(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& transfer = *static_cast<Transfer*>(context);
        if (transfer.reply.size() + size * count > maxTargetReplyBytes)
            return 0;
        transfer.reply.append(data, size * count);
        return size * count;
    }
};

struct TargetClient::Multi {
    Multi()
        : handle(curl_multi_init())
        , headers(curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), "Expect:"))
    {
        curl_multi_setopt(handle, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        curl_multi_setopt(handle, CURLMOPT_MAXCONNECTS, maxOpenConnections);
    }
    ~Multi()
    {
        for (CURL* easy : idle)
            curl_easy_cleanup(easy);
        curl_multi_cleanup(handle);
        curl_slist_free_all(headers);
    }
    Multi(const Multi&) = delete;
    Multi& operator=(const Multi&) = delete;

    CURL* acquire()
    {
        if (idle.empty())
            return curl_easy_init();
        CURL* easy = idle.back();
        idle.pop_back();
        curl_easy_reset(easy);
        return easy;
    }
    void release(CURL* easy)
    {
        if (idle.size() < maxIdleHandles)
            idle.push_back(easy);
        else
            curl_easy_cleanup(easy);
    }

    CURLM* handle;
    curl_slist* headers;
    std::vector<CURL*> idle;
};

TargetClient::TargetClient(ResultHook onResult)
    : m_onResult(std::move(onResult))
    , m_multi(std::make_unique<Multi>())
    , m_thread([this] { run(); })
{
}

TargetClient::~TargetClient()
{
    stop();
}

void TargetClient::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    curl_multi_wakeup(m_multi->handle);
    if (m_thread.joinable())
        m_thread.join();
}

void TargetClient::dispatch(const Dispatch& dispatch)
{
    {
        std::lock_guard lock(m_mutex);
        m_dispatches.push_back({ dispatch, m_clock.now() });
    }
    curl_multi_wakeup(m_multi->handle);
}

void TargetClient::cancel(const AttemptId& attempt)
{
    {
        std::lock_guard lock(m_mutex);
        m_cancels.push_back(attempt);
    }
    curl_multi_wakeup(m_multi->handle);
}

void TargetClient::run()
{
    for (;;) {
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping)
                break;
        }
        startQueued();
        int running = 0;
        curl_multi_perform(m_multi->handle, &running);
        finishCompleted();
        bool pending = false;
        {
            std::lock_guard lock(m_mutex);
            pending = !m_dispatches.empty() || !m_cancels.empty();
        }
        if (!pending)
            curl_multi_poll(m_multi->handle, nullptr, 0, pollTimeoutMilliseconds, nullptr);
    }
    for (auto& [easy, transfer] : m_transfers) {
        curl_multi_remove_handle(m_multi->handle, transfer->easy);
        curl_easy_cleanup(transfer->easy);
    }
    m_transfers.clear();
}

void TargetClient::startQueued()
{
    std::vector<QueuedDispatch> dispatches;
    std::vector<AttemptId> cancels;
    {
        std::lock_guard lock(m_mutex);
        dispatches.swap(m_dispatches);
        cancels.swap(m_cancels);
    }
    for (const QueuedDispatch& queued : dispatches)
        startSearch(queued);
    for (const AttemptId& attempt : cancels)
        startCancel(attempt);
}

void TargetClient::startSearch(const QueuedDispatch& queued)
{
    const Dispatch& dispatch = queued.dispatch;
    if (m_clock.now() - queued.queuedAt > maxQueueTime) {
        ExchangeResult result;
        result.attempt = dispatch.attempt;
        result.target = dispatch.target;
        return m_onResult(result);
    }
    auto transfer = std::make_unique<Transfer>();
    transfer->dispatch = dispatch;
    transfer->request = searchBody(dispatch);
    m_activeSearches.emplace(dispatch.attempt, dispatch.endpoint);
    start(std::move(transfer));
}

void TargetClient::startCancel(const AttemptId& attempt)
{
    auto found = m_activeSearches.find(attempt);
    if (found == m_activeSearches.end())
        return;
    // One cancellation at a time per target stays within the connections reserved for cancellations.
    unsigned& cancelling = m_activeCancels[found->second];
    if (cancelling)
        return;
    ++cancelling;
    auto transfer = std::make_unique<Transfer>();
    transfer->search = false;
    transfer->dispatch.endpoint = found->second;
    transfer->dispatch.remaining = cancelTimeout;
    transfer->dispatch.replyTimeout = cancelTimeout;
    transfer->request = cancelBody(attempt);
    start(std::move(transfer));
}

void TargetClient::start(std::unique_ptr<Transfer> transfer)
{
    CURL* easy = m_multi->acquire();
    transfer->easy = easy;
    const Dispatch& dispatch = transfer->dispatch;
    std::string url = "http://" + dispatch.endpoint.text() + (transfer->search ? "/v1/search" : "/v1/cancel");
    Duration limit = std::min(dispatch.remaining, dispatch.replyTimeout);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, m_multi->headers);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->request.size()));
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, Transfer::readRequest);
    curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, Transfer::refuseRewind);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, Transfer::appendReply);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ceilMilliseconds(limit));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ceilMilliseconds(std::min(limit, connectTimeout)));
    curl_multi_add_handle(m_multi->handle, easy);
    m_transfers.emplace(easy, std::move(transfer));
}

void TargetClient::finishCompleted()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi->handle, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* easy = message->easy_handle;
        int code = message->data.result;
        auto found = m_transfers.find(easy);
        std::unique_ptr<Transfer> transfer = std::move(found->second);
        m_transfers.erase(found);
        finish(*transfer, code);
        curl_multi_remove_handle(m_multi->handle, easy);
        m_multi->release(easy);
    }
}

void TargetClient::finish(Transfer& transfer, int code)
{
    const Dispatch& dispatch = transfer.dispatch;
    if (!transfer.search) {
        --m_activeCancels[dispatch.endpoint];
        return;
    }
    m_activeSearches.erase(dispatch.attempt);
    ExchangeResult result;
    result.attempt = dispatch.attempt;
    result.target = dispatch.target;
    long connects = 0;
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    result.newConnection = connects > 0;
    if (code == CURLE_OK)
        result.outcome = parseTargetReply(dispatch, status, transfer.reply, result.reply);
    else if (!transfer.requestOffset)
        result.outcome = ExchangeOutcome::NotConnected; // libcurl never read the body, so none of it was sent.
    else if (code == CURLE_OPERATION_TIMEDOUT)
        result.outcome = dispatch.replyTimeout < dispatch.remaining ? ExchangeOutcome::ConnectionLost : ExchangeOutcome::TimedOut;
    else if (code == CURLE_WRITE_ERROR || code == CURLE_PARTIAL_FILE)
        result.outcome = ExchangeOutcome::InvalidReply;
    else
        result.outcome = ExchangeOutcome::ConnectionLost;
    m_onResult(result);
}

} // namespace pimentopoint
