#pragma once

#include <Pimentopoint/Core>
#include <string>

namespace pimentopoint {

/// \class ProcessUnreachable
/// \brief Thrown if a process does not reply to a command or replies with unexpected content.
class ProcessUnreachable : public Failure {
public:
    using Failure::Failure;
};

/// \class OperatorClient
/// \brief HTTP client for one process, based on CivetWeb; opens a new connection for each request.
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

    /// \throws ProcessUnreachable if no complete reply is received
    Reply request(const std::string& method, const std::string& path, const std::string& body = {}) const;

private:
    Endpoint m_process;
};

} // namespace pimentopoint
