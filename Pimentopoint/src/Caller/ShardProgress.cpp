#include "ShardProgress.h"

#include "Coverage.h"

namespace pimentopoint::internal {

namespace {

    std::uint64_t totalSize(const std::vector<KeyRange>& ranges)
    {
        std::uint64_t size = 0;
        for (const KeyRange& range : ranges)
            size += range.size();
        return size;
    }

} // namespace

std::uint64_t ShardProgress::accept(const SubReply& reply)
{
    Coverage inShard;
    for (const KeyRange& range : reply.covered) {
        if (!shard->range().contains(range) || !inShard.add(range))
            return 0;
    }
    std::uint64_t before = totalSize(covered);
    std::uint64_t after = totalSize(reply.covered);
    if (after <= before)
        return 0;
    covered = reply.covered;
    hits = reply.hits;
    done = after == shard->range().size();
    return after - before;
}

bool ShardProgress::refusedByOverload() const
{
    return !done && (notRunReason == NotRunReason::Shed || notRunReason == NotRunReason::Deadline);
}

void mergeShards(const std::vector<ShardProgress>& shards, bool mayHaveRun, bool idempotent, Answer& answer)
{
    Coverage coverage;
    std::string hits;
    bool anyUnknown = mayHaveRun;
    NotRunReason notRunReason = NotRunReason::Deadline;
    for (const ShardProgress& shard : shards) {
        for (const KeyRange& range : shard.covered)
            coverage.add(range);
        if (shard.hits.size() > 2)
            hits += (hits.empty() ? "" : ",") + shard.hits.substr(1, shard.hits.size() - 2);
        anyUnknown = anyUnknown || (!shard.done && shard.unknownReason != UnknownReason::None);
        if (shard.notRunReason != NotRunReason::None)
            notRunReason = shard.notRunReason;
        if (!shard.done && shard.unknownReason != UnknownReason::None)
            answer.unknownReason = shard.unknownReason;
    }
    answer.hits = "[" + hits + "]";
    answer.coverage = coverage.fraction();
    answer.missing = coverage.missing();
    if (anyUnknown && answer.unknownReason == UnknownReason::None)
        answer.unknownReason = UnknownReason::Deadline;
    bool nothingCovered = answer.coverage.value() == 0;
    if (answer.missing.empty())
        answer.outcome = Outcome::Answered;
    else if (anyUnknown && (nothingCovered || !idempotent))
        answer.outcome = Outcome::Unknown;
    else
        answer.outcome = nothingCovered ? Outcome::NotRun : Outcome::Partial;
    answer.notRunReason = answer.outcome == Outcome::NotRun ? notRunReason : NotRunReason::None;
}

} // namespace pimentopoint::internal
