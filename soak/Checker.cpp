#include "Checker.h"

#include <Pimentopoint/Serve>
#include <algorithm>
#include <sstream>

namespace pimentopoint {

Checker::Checker(std::size_t shards, std::size_t minSubReplies, std::size_t maxAttempts)
    : m_shards(shards)
    , m_minSubReplies(minSubReplies)
    , m_maxAttempts(maxAttempts)
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

void Checker::recordRun(const std::string& target, const std::string& service, const std::string& id, bool nonIdempotent)
{
    if (!m_requests.contains(id))
        addViolation(id, "ran at " + target + ", but no caller sent it");
    std::vector<Run>& runs = m_runs[id];
    if (nonIdempotent && !runs.empty())
        addViolation(id, "is not idempotent, but ran at " + runs.front().target + " and at " + target);
    runs.push_back({ target, service });
    auto runsAtService = std::count_if(runs.begin(), runs.end(), [&](const Run& run) { return run.service == service; });
    if (static_cast<std::size_t>(runsAtService) > m_maxAttempts)
        addViolation(id, "ran " + std::to_string(runsAtService) + " times at " + service);
}

const Checker::Run* Checker::runBySignature(const std::string& signature, const std::string& id) const
{
    auto runs = m_runs.find(id);
    if (runs == m_runs.end())
        return nullptr;
    auto found = std::find_if(runs->second.begin(), runs->second.end(), [&](const Run& run) { return run.target + "." + id == signature; });
    return found == runs->second.end() ? nullptr : &*found;
}

void Checker::recordAnswer(const CallerObservation& observation)
{
    constexpr unsigned ok = 200;
    constexpr unsigned tooMany = 429;
    constexpr unsigned unavailable = 503;
    if (observation.status == unavailable || observation.status == tooMany) {
        m_refused.insert(observation.id);
    } else if (observation.status != ok) {
        ++m_lost;
    } else {
        ++m_served;
        observation.fanOut ? checkFanOut(observation) : checkSingle(observation);
    }
}

void Checker::checkSingle(const CallerObservation& observation)
{
    const Run* run = runBySignature(observation.signatures, observation.id);
    if (!run)
        addViolation(observation.id, "answered with the signature '" + observation.signatures + "', which belongs to none of its runs");
    else if (observation.body != expectedBody(run->target, observation.id))
        addViolation(observation.id, "answered with a body other than the target's");
}

void Checker::checkFanOut(const CallerObservation& observation)
{
    std::set<std::string> services;
    std::vector<std::string> bodies;
    std::istringstream signatures(observation.signatures);
    std::size_t subReplies = 0;
    for (std::string signature; std::getline(signatures, signature, ',');) {
        signature.erase(0, signature.find_first_not_of(' '));
        ++subReplies;
        const Run* run = runBySignature(signature, observation.id);
        if (!run) {
            addViolation(observation.id, "a sub-reply has the signature '" + signature + "', which belongs to none of its runs");
            continue;
        }
        if (!services.insert(run->service).second)
            addViolation(observation.id, "two sub-replies are from " + run->service);
        bodies.push_back(expectedBody(run->target, observation.id));
    }
    if (subReplies + observation.missingShards != m_shards)
        addViolation(observation.id, std::to_string(subReplies) + " sub-replies and " + std::to_string(observation.missingShards) + " missing shards don't add up to the number of shards");
    if (subReplies < m_minSubReplies)
        addViolation(observation.id, "only " + std::to_string(subReplies) + " sub-replies");
    if (observation.body != topRecords({ bodies.begin(), bodies.end() }, topRecordCount))
        addViolation(observation.id, "answered with a body other than the greatest records of its sub-replies");
}

void Checker::finish()
{
    for (const std::string& id : m_refused) {
        if (m_runs.contains(id))
            addViolation(id, "refused as not run, but ran at " + m_runs[id].front().target);
    }
}

} // namespace pimentopoint
