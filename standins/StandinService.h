/// \file
/// Stand-in for a target of the platform, for tests, benches and the soak. It speaks HTTP on loopback, runs on the thread of its
/// io_context, and depends on Core and Net.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Net>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace pimentopoint {

/// \class StandinService
/// \brief A target that speaks the platform's protocol on loopback: replies to each request after a delay, with faults on demand.
class StandinService {
public:
    /// How one request is handled.
    struct Behaviour {
        unsigned status = 200;
        Duration serviceTime { 0 };
        bool notRun = false; ///< Replies that the request was not run.
        bool unresponsive = false; ///< Never replies.
        bool hasSignature = true; ///< Whether a reply carries the target's signature.
        std::string echoedId; ///< Returned instead of the request's id; empty for the request's own.
        std::string body;
    };
    using Script = std::function<Behaviour(const CallerRequest&)>;

    StandinService(boost::asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, const Endpoint& endpoint, std::string name, Script script);

    std::uint64_t requestCount() const { return m_arrivals; }
    /// \returns the number of calls whose caller disconnected before the reply
    std::uint64_t callerDisconnects() const { return m_callerDisconnects; }
    const std::vector<CallerRequest>& requests() const { return m_requests; }
    /// Keeps the requests that arrive from now on for requests().
    void recordRequests() { m_recordsRequests = true; }

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
