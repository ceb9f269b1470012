#pragma once

#include "../Core/PauseDetector.h"
#include "../Peer/DocumentStore.h"
#include "ShareTable.h"
#include "TargetAdmission.h"

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class GatewayEngine
/// \ingroup Target
/// \brief Makes the decisions of a gateway: which sub-queries it accepts, when it sends each one, what it replies.
/// \details The targets are divided into stripes, each under its own lock; hooks are called without a lock held. The
/// current time is an argument of every event. A gap between events longer than the pause threshold stops the engine
/// from serving until setServing() is called again.
class GatewayEngine {
public:
    struct Hooks {
        std::function<void(const Dispatch&)> dispatch;
        std::function<void(TargetId, const AttemptId&)> cancel;
        std::function<void(const AttemptId&, SubReply)> reply;
        std::function<void()> paused; ///< The process was paused; the active documents have to be confirmed.
    };

    /// State of the admission to one target, for operators.
    struct TargetStatus {
        TargetName target;
        Share share;
        WarmupRamp::State state;
        std::size_t waiting;
        std::size_t outstanding;
        Duration serviceTime;
    };

    GatewayEngine(MemberName self, DataCentreName dataCentre, Hooks hooks, Instant start);

    /// Applies the active documents: shares, leaving targets, data centres taken out of service.
    void setDocuments(const DocumentStore::ActiveDocuments& documents, Instant now);
    /// Starts serving if there is a configuration, or stops it and refuses queued and new sub-queries with \a reason.
    void setServing(bool serving, NotRunReason reason, Instant now);
    void submit(const SearchBatch& batch, Instant now);
    void handleResult(const ExchangeResult& result, Instant now);
    void cancel(const CancelBatch& batch, Instant now);
    void tick(Instant now);

    /// \returns whether no sub-query is queued or in flight
    bool idle() const;
    std::vector<TargetStatus> status() const;

private:
    struct Stripe {
        mutable std::mutex mutex;
        std::unordered_map<TargetId, TargetAdmission> admissions;
    };
    struct State {
        DocumentStore::ActiveDocuments documents;
        std::shared_ptr<const ShareTable> shares;
        bool serving = false;
        NotRunReason notServingReason = NotRunReason::Starting;
    };

    static constexpr std::size_t stripeCount = 16;

    Stripe& stripeFor(TargetId target) { return m_stripes[target.value() % stripeCount]; }
    State state() const;
    void checkForPause(Instant now);
    void refuseAllWaiting(NotRunReason reason);
    void perform(TargetId target, const AdmissionActions& actions);
    /// \returns why sub-queries for \a target are refused, or None if they are accepted
    NotRunReason refusalReason(const State& state, TargetId target) const;
    void refuse(const AttemptId& attempt, NotRunReason reason);
    void updateAdmission(const State& state, const Target& target, Instant now);

    MemberName m_self;
    DataCentreName m_dataCentre;
    Hooks m_hooks;
    Instant m_start;
    mutable std::mutex m_stateMutex;
    State m_state;
    std::mutex m_pauseMutex;
    PauseDetector m_pauseDetector;
    std::array<Stripe, stripeCount> m_stripes;
};

} // namespace pimentopoint
