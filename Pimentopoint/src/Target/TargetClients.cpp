#include "TargetClients.h"

namespace pimentopoint {

TargetClients::TargetClients(unsigned count, const TargetClient::ResultHook& onResult)
{
    for (unsigned i = 0; i < count; ++i)
        m_clients.push_back(std::make_unique<TargetClient>(onResult));
}

void TargetClients::stop()
{
    for (const auto& client : m_clients)
        client->stop();
}

} // namespace pimentopoint
