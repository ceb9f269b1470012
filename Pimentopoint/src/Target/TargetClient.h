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
/// \brief Runs exchanges with targets over HTTP: many connections on one thread, each exchange with its own time limit.
/// \details A request is written at most once. A connection is closed and never reused if an exchange on it did not complete.
class TargetClient {
public:
    using ResultHook = std::function<void(const ExchangeResult&)>;

    explicit TargetClient(ResultHook onResult);
    ~TargetClient();
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    /// Starts an exchange; the hook is called with its result on the client's thread.
    void dispatch(const Dispatch& dispatch);
    /// Notifies the target that the result of \a attempt is no longer needed, unless another cancellation for that target is in progress; the exchange itself continues to its end.
    void cancel(const AttemptId& attempt);
    /// Stops the thread; exchanges in progress are dropped without a result.
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
    void startSearch(const QueuedDispatch& queued);
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
