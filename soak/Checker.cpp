#include "Checker.h"

#include <Pimentopoint/Serve>
#include <algorithm>
#include <sstream>

namespace pimentopoint {

Checker::Checker(std::size_t shards, std::size_t leastParts, std::size_t mostAttempts)
    : m_shards(shards)
    , m_minSubReplies(leastParts)
    , m_maxAttempts(mostAttempts)
{
}

std::string Checker::expectedBody(const std::string& target, const std::string& id)
{
    std::string body;
    for (int i = 0; i < 3; ++i) {
        std::string key = target;
        key.append("/").append(id).append("/").append(std::to_string(i));
        std::uint64_t hash = hashOf(key);
        std::string record(recordBytes, 'x');
        for (std::size_t at = 0; at < recordBytes; ++at)
            record[at] = static_cast<char>('a' + (hash >> (4 * at) & 15));
        body += record;
    }
    return body;
}

void Checker::recordRun(const std::string& target, const std::string& service, const std::string& id, bool once)
{
    if (!m_requests.contains(id))
        addViolation(id, "ran at " + target + ", but nobody asked it");
    std::vector<Run>& runs = m_runs[id];
    if (once && !runs.empty())
        addViolation(id, "may run once, ran at " + runs.front().target + " and at " + target);
    runs.push_back({ target, service });
    auto here = std::count_if(runs.begin(), runs.end(), [&](const Run& run) { return run.service == service; });
    if (static_cast<std::size_t>(here) > m_maxAttempts)
        addViolation(id, "ran " + std::to_string(here) + " times at " + service);
}

const Checker::Run* Checker::runBySignature(const std::string& stamp, const std::string& id) const
{
    auto runs = m_runs.find(id);
    if (runs == m_runs.end())
        return nullptr;
    auto found = std::find_if(runs->second.begin(), runs->second.end(), [&](const Run& run) { return run.target + "." + id == stamp; });
    return found == runs->second.end() ? nullptr : &*found;
}

void Checker::recordAnswer(const CallerObservation& sight)
{
    constexpr unsigned ok = 200;
    constexpr unsigned tooMany = 429;
    constexpr unsigned unavailable = 503;
    if (sight.status == unavailable || sight.status == tooMany) {
        m_refused.insert(sight.id);
    } else if (sight.status != ok) {
        ++m_lost;
    } else {
        ++m_served;
        sight.fanOut ? checkFanOut(sight) : checkSingle(sight);
    }
}

void Checker::checkSingle(const CallerObservation& sight)
{
    const Run* run = runBySignature(sight.signatures, sight.id);
    if (!run)
        addViolation(sight.id, "answered with the signature '" + sight.signatures + "', which is of no run of it");
    else if (sight.body != expectedBody(run->target, sight.id))
        addViolation(sight.id, "answered with a body that is not the target's");
}

void Checker::checkFanOut(const CallerObservation& sight)
{
    std::set<std::string> services;
    std::vector<std::string> bodies;
    std::istringstream stamps(sight.signatures);
    std::size_t parts = 0;
    for (std::string stamp; std::getline(stamps, stamp, ',');) {
        stamp.erase(0, stamp.find_first_not_of(' '));
        ++parts;
        const Run* run = runBySignature(stamp, sight.id);
        if (!run) {
            addViolation(sight.id, "a part has the signature '" + stamp + "', which is of no run of it");
            continue;
        }
        if (!services.insert(run->service).second)
            addViolation(sight.id, "two parts are of " + run->service);
        bodies.push_back(expectedBody(run->target, sight.id));
    }
    if (parts + sight.missingShards != m_shards)
        addViolation(sight.id, std::to_string(parts) + " parts and " + std::to_string(sight.missingShards) + " missing do not make up the shards");
    if (parts < m_minSubReplies)
        addViolation(sight.id, "only " + std::to_string(parts) + " parts");
    if (sight.body != topRecords({ bodies.begin(), bodies.end() }, topRecordCount))
        addViolation(sight.id, "the body is not the greatest records of its parts");
}

void Checker::finish()
{
    for (const std::string& id : m_refused) {
        if (m_runs.contains(id))
            addViolation(id, "refused as not run, and ran at " + m_runs[id].front().target);
    }
}

} // namespace pimentopoint
