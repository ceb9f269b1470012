#pragma once

#include <Pimentopoint/Core>
#include <string>

namespace pimentopoint {

/// \class ProcessUnreachable
/// \brief A process did not answer the operator's command.
class ProcessUnreachable : public Failure {
public:
    using Failure::Failure;
};

/// \class OperatorClient
/// \brief One HTTP exchange after another with a process, by CivetWeb's client.
class OperatorClient {
public:
    struct Reply {
        int status = 0;
        std::string body;
    };

    explicit OperatorClient(Endpoint process)
        : m_process(std::move(process))
    {
    }

    /// \throws ProcessUnreachable if there is no whole reply
    Reply request(const std::string& method, const std::string& path, const std::string& body = {}) const;

private:
    Endpoint m_process;
};

} // namespace pimentopoint
