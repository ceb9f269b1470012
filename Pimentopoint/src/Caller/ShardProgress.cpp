#include "ShardProgress.h"

#include "Coverage.h"

namespace pimentopoint::internal {

namespace {

    std::uint64_t sizeOf(const std::vector<KeyRange>& ranges)
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
    std::uint64_t before = sizeOf(covered);
    std::uint64_t after = sizeOf(reply.covered);
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

void mergeShards(const std::vector<ShardProgress>& shards, bool mayHaveRun, bool repeatable, Answer& answer)
{
    Coverage coverage;
    std::string hits;
    bool anyUnknown = mayHaveRun;
    NotRunReason refusal = NotRunReason::Deadline;
    for (const ShardProgress& run : shards) {
        for (const KeyRange& range : run.covered)
            coverage.add(range);
        if (run.hits.size() > 2)
            hits += (hits.empty() ? "" : ",") + run.hits.substr(1, run.hits.size() - 2);
        anyUnknown = anyUnknown || (!run.done && run.unknownReason != UnknownReason::None);
        if (run.notRunReason != NotRunReason::None)
            refusal = run.notRunReason;
        if (!run.done && run.unknownReason != UnknownReason::None)
            answer.unknown = run.unknownReason;
    }
    answer.hits = "[" + hits + "]";
    answer.coverage = coverage.fraction();
    answer.missing = coverage.missing();
    if (anyUnknown && answer.unknown == UnknownReason::None)
        answer.unknown = UnknownReason::Deadline;
    bool nothing = answer.coverage.value() == 0;
    if (answer.missing.empty())
        answer.outcome = Outcome::Answered;
    else if (anyUnknown && (nothing || !repeatable))
        answer.outcome = Outcome::Unknown;
    else
        answer.outcome = nothing ? Outcome::NotRun : Outcome::Partial;
    answer.notRun = answer.outcome == Outcome::NotRun ? refusal : NotRunReason::None;
}

} // namespace pimentopoint::internal
