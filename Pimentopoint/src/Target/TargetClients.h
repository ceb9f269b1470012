#pragma once

#include "TargetClient.h"

namespace pimentopoint {

/// \class TargetClients
/// \ingroup Target
/// \brief Several TargetClient with a thread each; a target always uses the same one, so that its connections are reused.
/// \sa TargetClient
class TargetClients {
public:
    /// \param count number of clients, at least 1
    /// \param onResult called on the threads of the clients
    TargetClients(unsigned count, const TargetClient::ResultHook& onResult);

    void dispatch(const Dispatch& dispatch) { clientFor(dispatch.target).dispatch(dispatch); }
    void cancel(TargetId target, const AttemptId& attempt) { clientFor(target).cancel(attempt); }
    void stop();

private:
    TargetClient& clientFor(TargetId target) { return *m_clients[target.value() % m_clients.size()]; }

    std::vector<std::unique_ptr<TargetClient>> m_clients;
};

} // namespace pimentopoint
