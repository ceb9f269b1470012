/// \file
/// Checks of the soak on what callers and targets observe. They run on one thread and depend on Core and Serve.
#pragma once

#include "Caller.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class Checker
/// \brief Checks answers of callers against the runs that targets recorded; uses no information from the hosts.
class Checker {
public:
    Checker(std::size_t shards, std::size_t minSubReplies, std::size_t maxAttempts);

    void recordRequest(const std::string& id) { m_requests.insert(id); }
    /// Records that \a target began to run the request \a id; \a nonIdempotent forbids a second run.
    void recordRun(const std::string& target, const std::string& service, const std::string& id, bool nonIdempotent);
    void recordAnswer(const CallerObservation& observation);
    /// Checks that no refused request ran; must be called after all answers.
    void finish();

    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t served() const { return m_served; }
    std::size_t refused() const { return m_refused.size(); }
    std::size_t lost() const { return m_lost; }

    /// \returns the body with which \a target replies to \a id
    static std::string expectedBody(const std::string& target, const std::string& id);
    static constexpr std::size_t topRecordCount = 4;

private:
    struct Run {
        std::string target;
        std::string service;
    };

    void addViolation(const std::string& id, const std::string& description) { m_violations.push_back("request " + id + ": " + description); }
    /// \returns the run of \a id with \a signature, or null
    const Run* runBySignature(const std::string& signature, const std::string& id) const;
    void checkSingle(const CallerObservation& observation);
    void checkFanOut(const CallerObservation& observation);

    std::size_t m_shards;
    std::size_t m_minSubReplies;
    std::size_t m_maxAttempts;
    std::set<std::string> m_requests;
    std::map<std::string, std::vector<Run>> m_runs;
    std::set<std::string> m_refused;
    std::vector<std::string> m_violations;
    std::size_t m_served = 0;
    std::size_t m_lost = 0;
};

} // namespace pimentopoint
