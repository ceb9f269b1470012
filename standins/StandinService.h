#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Net>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pimentopoint {

/// \class StandinService
/// \brief A target that speaks the platform's protocol on loopback: answers each request after a time, with faults on demand.
class StandinService {
public:
    /// What becomes of a request.
    struct Behaviour {
        unsigned status = 200;
        Duration takes { 0 };
        bool notRun = false;
        bool unresponsive = false; ///< Never answers.
        bool hasSignature = true;
        std::string echoedId; ///< Echoed instead of the request's id.
        std::string body;
    };
    using Script = std::function<Behaviour(const CallerRequest&)>;

    StandinService(boost::asio::io_context& context, const Clock& clock, const HeaderNames& dialect, const Endpoint& endpoint, std::string name, Script script);

    std::uint64_t arrivals() const { return m_arrivals; }
    std::uint64_t callersLeft() const { return m_callerDisconnects; }
    const std::vector<CallerRequest>& requests() const { return m_requests; }
    void keepRequests() { m_recordsRequests = true; }

private:
    void handleRequest(CallId call, const std::shared_ptr<const CallerRequest>& request);
    void sendAnswer(CallId call, const CallerRequest& request, const Behaviour& behaviour);

    boost::asio::io_context& m_context;
    const HeaderNames& m_headerNames;
    std::string m_name;
    Script m_script;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_callerDisconnects = 0;
    bool m_recordsRequests = false;
    std::vector<CallerRequest> m_requests;
    CallerServer m_server;
};

} // namespace pimentopoint
