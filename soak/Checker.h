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

    void asked(const std::string& id) { m_asked.insert(id); }
    /// A target began to work on a request.
    void ran(const std::string& target, const std::string& service, const std::string& id, bool once);
    void answered(const CallerSight& sight);
    /// Checks what only the end shows.
    void finish();

    const std::vector<std::string>& faults() const { return m_faults; }
    std::size_t served() const { return m_served; }
    std::size_t refused() const { return m_refused.size(); }
    std::size_t lost() const { return m_lost; }

    /// \returns the body of \a target's answer to \a id
    static std::string bodyOf(const std::string& target, const std::string& id);
    static constexpr std::size_t topRecordCount = 4;

private:
    struct Run {
        std::string target;
        std::string service;
    };

    void fault(const std::string& id, const std::string& what) { m_faults.push_back("request " + id + ": " + what); }
    /// \returns the run that \a stamp signs, or null
    const Run* signedRun(const std::string& stamp, const std::string& id) const;
    void checkSingle(const CallerSight& sight);
    void checkFanOut(const CallerSight& sight);

    std::size_t m_shards;
    std::size_t m_leastParts;
    std::size_t m_mostAttempts;
    std::set<std::string> m_asked;
    std::map<std::string, std::vector<Run>> m_runs;
    std::set<std::string> m_refused;
    std::vector<std::string> m_faults;
    std::size_t m_served = 0;
    std::size_t m_lost = 0;
};

} // namespace pimentopoint
