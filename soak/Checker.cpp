#include "Checker.h"

#include <Pimentopoint/Serve>
#include <algorithm>
#include <sstream>

namespace pimentopoint {

Checker::Checker(std::size_t shards, std::size_t leastParts, std::size_t mostAttempts)
    : m_shards(shards)
    , m_leastParts(leastParts)
    , m_mostAttempts(mostAttempts)
{
}

std::string Checker::bodyOf(const std::string& target, const std::string& id)
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

void Checker::ran(const std::string& target, const std::string& service, const std::string& id, bool once)
{
    if (!m_asked.contains(id))
        fault(id, "ran at " + target + ", but nobody asked it");
    std::vector<Run>& runs = m_runs[id];
    if (once && !runs.empty())
        fault(id, "may run once, ran at " + runs.front().target + " and at " + target);
    runs.push_back({ target, service });
    auto here = std::count_if(runs.begin(), runs.end(), [&](const Run& run) { return run.service == service; });
    if (static_cast<std::size_t>(here) > m_mostAttempts)
        fault(id, "ran " + std::to_string(here) + " times at " + service);
}

const Checker::Run* Checker::signedRun(const std::string& stamp, const std::string& id) const
{
    auto runs = m_runs.find(id);
    if (runs == m_runs.end())
        return nullptr;
    auto found = std::find_if(runs->second.begin(), runs->second.end(), [&](const Run& run) { return run.target + "." + id == stamp; });
    return found == runs->second.end() ? nullptr : &*found;
}

void Checker::answered(const CallerSight& sight)
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

void Checker::checkSingle(const CallerSight& sight)
{
    const Run* run = signedRun(sight.stamps, sight.id);
    if (!run)
        fault(sight.id, "answered with the signature '" + sight.stamps + "', which is of no run of it");
    else if (sight.body != bodyOf(run->target, sight.id))
        fault(sight.id, "answered with a body that is not the target's");
}

void Checker::checkFanOut(const CallerSight& sight)
{
    std::set<std::string> services;
    std::vector<std::string> bodies;
    std::istringstream stamps(sight.stamps);
    std::size_t parts = 0;
    for (std::string stamp; std::getline(stamps, stamp, ',');) {
        stamp.erase(0, stamp.find_first_not_of(' '));
        ++parts;
        const Run* run = signedRun(stamp, sight.id);
        if (!run) {
            fault(sight.id, "a part has the signature '" + stamp + "', which is of no run of it");
            continue;
        }
        if (!services.insert(run->service).second)
            fault(sight.id, "two parts are of " + run->service);
        bodies.push_back(bodyOf(run->target, sight.id));
    }
    if (parts + sight.missing != m_shards)
        fault(sight.id, std::to_string(parts) + " parts and " + std::to_string(sight.missing) + " missing do not make up the shards");
    if (parts < m_leastParts)
        fault(sight.id, "only " + std::to_string(parts) + " parts");
    if (sight.body != topRecords({ bodies.begin(), bodies.end() }, topRecordCount))
        fault(sight.id, "the body is not the greatest records of its parts");
}

void Checker::finish()
{
    for (const std::string& id : m_refused) {
        if (m_runs.contains(id))
            fault(id, "refused as not run, and ran at " + m_runs[id].front().target);
    }
}

} // namespace pimentopoint
