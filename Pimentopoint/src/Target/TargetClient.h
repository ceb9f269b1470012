#pragma once

#include "../Core/SystemClock.h"
#include "Exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class TargetClient
/// \ingroup Target
/// \brief Exchanges with targets over HTTP: many connections on one thread, each exchange with its own time limit.
/// \details A request is written at most once; a connection on which an exchange did not end is closed, never used
/// again.
class TargetClient {
public:
    using ResultHook = std::function<void(const ExchangeResult&)>;

    explicit TargetClient(ResultHook onResult);
    ~TargetClient();
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    /// Starts an exchange; its end reaches the hook, on the client's thread.
    void dispatch(const Dispatch& dispatch);
    /// Tells the target that nobody waits for \a attempt any more; the exchange itself goes on to its end.
    void cancel(const AttemptId& attempt);
    /// Ends the thread; exchanges that go on are dropped without a result.
    void stop();

private:
    struct Transfer;
    struct Multi;

    struct QueuedDispatch {
        Dispatch dispatch;
        Instant queuedAt;
    };

    void run();
    void startQueued();
    void startSearch(const QueuedDispatch& order);
    void startCancel(const AttemptId& attempt);
    void start(std::unique_ptr<Transfer> transfer);
    void finishCompleted();
    void finish(Transfer& transfer, int code);

    SystemClock m_clock;
    ResultHook m_onResult;
    std::unique_ptr<Multi> m_multi;
    std::mutex m_mutex;
    std::vector<QueuedDispatch> m_dispatches;
    std::vector<AttemptId> m_cancels;
    bool m_stopping = false;
    std::unordered_map<void*, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<AttemptId, Endpoint> m_activeSearches;
    std::map<Endpoint, unsigned> m_activeCancels;
    std::thread m_thread;
};

} // namespace pimentopoint
