#pragma once

#include "Caller.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class Checker
/// \brief Judges what callers and targets saw; believes nothing that the hosts say.
class Checker {
public:
    Checker(std::size_t shards, std::size_t leastParts, std::size_t mostAttempts);

    void recordRequest(const std::string& id) { m_requests.insert(id); }
    /// A target began to work on a request.
    void recordRun(const std::string& target, const std::string& service, const std::string& id, bool once);
    void recordAnswer(const CallerObservation& sight);
    /// Checks what only the end shows.
    void finish();

    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t served() const { return m_served; }
    std::size_t refused() const { return m_refused.size(); }
    std::size_t lost() const { return m_lost; }

    /// \returns the body of \a target's answer to \a id
    static std::string expectedBody(const std::string& target, const std::string& id);
    static constexpr std::size_t topRecordCount = 4;

private:
    struct Run {
        std::string target;
        std::string service;
    };

    void addViolation(const std::string& id, const std::string& what) { m_violations.push_back("request " + id + ": " + what); }
    /// \returns the run that \a stamp signs, or null
    const Run* runBySignature(const std::string& stamp, const std::string& id) const;
    void checkSingle(const CallerObservation& sight);
    void checkFanOut(const CallerObservation& sight);

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
