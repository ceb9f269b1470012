#pragma once

#include "../Operator/Shard.h"
#include "Answer.h"
#include "Router.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentopoint::internal {

/// \class ShardProgress
/// \ingroup Caller
/// \brief State of one shard within a query: its attempts, failures and hits.
/// \sa QueryRun
struct ShardProgress {
    const Shard* shard = nullptr;
    RouteExclusions exclusions;
    unsigned outstanding = 0;
    unsigned retryRounds = 0;
    bool done = false;
    unsigned consecutiveHedges = 0; ///< Hedges since the latest attempt of another kind.
    unsigned hedgeBackoffSteps = 0; ///< Doublings of the hedge delay since the latest attempt.
    bool failed = false; ///< No further attempt is possible.
    std::optional<Instant> retryAt;
    Instant lastAttemptAt {};
    std::vector<KeyRange> covered;
    std::string hits; ///< A JSON array; empty until a reply has been accepted.
    NotRunReason notRunReason = NotRunReason::None;
    UnknownReason unknownReason = UnknownReason::None;

    /// \brief Accepts \a reply if its ranges lie in the shard, don't overlap and cover more than the reply accepted before.
    /// \returns the number of keys gained
    std::uint64_t accept(const SubReply& reply);
    /// \returns whether the shard is incomplete and its latest refusal was due to overload
    bool refusedByOverload() const;
};

/// \brief Merges the results of \a shards into the outcome, coverage and hits of \a answer.
/// \param mayHaveRun whether sub-queries of an abandoned plan may have run
/// \param idempotent whether the query may run twice
void mergeShards(const std::vector<ShardProgress>& shards, bool mayHaveRun, bool idempotent, Answer& answer);

} // namespace pimentopoint::internal
