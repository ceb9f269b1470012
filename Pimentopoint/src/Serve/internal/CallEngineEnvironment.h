#pragma once

#include "../CallEngine.h"

namespace pimentopoint {

/// \class CallEngine::Environment
/// \ingroup Serve
/// \brief What a CallRun does to the engine that holds it: sends to targets and hosts, and their ends.
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
    std::optional<DelegatedGroup> delegate(Instant now) override;
    void release(AttemptNumber send, bool silent, Instant now) override;

private:
    CallEngine& m_engine;
    CallId m_id;
    CallRun& m_run;
    CallActions& m_actions;
};

} // namespace pimentopoint
