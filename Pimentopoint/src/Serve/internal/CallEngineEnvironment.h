#pragma once

#include "../CallEngine.h"

namespace pimentopoint {

/// \class CallEngine::Environment
/// \ingroup Serve
/// \brief Carries out the operations of a CallRun in its engine: starts attempts, delegates sub-requests and gives attempts up.
class CallEngine::Environment : public CallEnvironment {
public:
    Environment(CallEngine& engine, CallId id, CallRun& run, CallActions& actions)
        : m_engine(engine)
        , m_id(id)
        , m_run(run)
        , m_actions(actions)
    {
    }

    AttemptResult startAttempt(std::size_t index, bool extra, Instant now) override;
    std::optional<Duration> limitWait(std::size_t index, Instant now) override;
    std::optional<DelegatedGroup> delegate(Instant now) override;
    void release(AttemptNumber attempt, bool unresponsive, Instant now) override;

private:
    CallEngine& m_engine;
    CallId m_id;
    CallRun& m_run;
    CallActions& m_actions;
};

} // namespace pimentopoint
