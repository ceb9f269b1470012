#pragma once

#include "../Core/PauseDetector.h"
#include "../Peer/DocumentStore.h"
#include "ShareTable.h"
#include "TargetLane.h"

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
/// \brief All decisions of a gateway: which sub-queries it takes, when each is sent, what is answered.
/// \details Lanes are divided into parts, each under its own lock; hooks are called without a lock held. Time is an
/// argument of every event. A gap between events longer than the pause threshold closes the engine until
/// setServing() opens it anew.
class GatewayEngine {
public:
    struct Hooks {
        std::function<void(const Dispatch&)> dispatch;
        std::function<void(TargetId, const AttemptId&)> cancel;
        std::function<void(const AttemptId&, SubReply)> reply;
        std::function<void()> paused; ///< The process stood still; what is in force has to be confirmed.
    };

    /// How one lane stands, for operators.
    struct LaneStatus {
        TargetName target;
        Share share;
        ColdRamp::State state;
        std::size_t waiting;
        std::size_t atWork;
        Duration serviceTime;
    };

    GatewayEngine(MemberName self, DataCentreName dataCentre, Hooks hooks, Instant start);

    /// Puts documents in force: shares, leaving targets, data centres taken out.
    void setDocuments(const DocumentStore::InForce& documents, Instant now);
    /// Opens the engine, or closes it with the reason that refusals give.
    void setServing(bool serving, NotRunReason reason, Instant now);
    void submit(const SearchBatch& batch, Instant now);
    void complete(const ExchangeResult& result, Instant now);
    void cancel(const CancelBatch& batch, Instant now);
    void tick(Instant now);

    /// \returns whether nothing waits and nothing is at work
    bool idle() const;
    std::vector<LaneStatus> status() const;

private:
    struct Part {
        mutable std::mutex mutex;
        std::unordered_map<TargetId, TargetLane> lanes;
    };
    struct State {
        DocumentStore::InForce documents;
        std::shared_ptr<const ShareTable> shares;
        bool serving = false;
        NotRunReason closedReason = NotRunReason::Starting;
    };

    static constexpr std::size_t partCount = 16;

    Part& part(TargetId target) { return m_parts[target.value() % partCount]; }
    State state() const;
    void noticePause(Instant now);
    void refuseAllWaiting(NotRunReason reason);
    void perform(TargetId target, const LaneActions& actions);
    /// \returns why \a target gets no work, or None
    NotRunReason obstacle(const State& state, TargetId target) const;
    void refuse(const AttemptId& attempt, NotRunReason reason);
    void updateLane(const State& state, const Target& target, Instant now);

    MemberName m_self;
    DataCentreName m_dataCentre;
    Hooks m_hooks;
    Instant m_start;
    mutable std::mutex m_stateMutex;
    State m_state;
    std::mutex m_pauseMutex;
    PauseDetector m_pauses;
    std::array<Part, partCount> m_parts;
};

} // namespace pimentopoint
