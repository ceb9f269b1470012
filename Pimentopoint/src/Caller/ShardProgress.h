#pragma once

#include "../Operator/Shard.h"
#include "Answer.h"
#include "Router.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentopoint::internal {

/// \class ShardRun
/// \ingroup Caller
/// \brief What became of one shard of a query so far.
/// \sa QueryRun
struct ShardProgress {
    const Shard* shard = nullptr;
    RouteExclusions exclusions;
    unsigned outstanding = 0;
    unsigned retryRounds = 0;
    bool done = false;
    unsigned consecutiveHedges = 0; ///< Sent since the latest other send.
    unsigned hedgeBackoffSteps = 0; ///< Since the latest send of any kind.
    bool failed = false; ///< No way is left to try.
    std::optional<Instant> retryAt;
    Instant lastAttemptAt {};
    std::vector<KeyRange> covered;
    std::string hits;
    NotRunReason notRunReason = NotRunReason::None;
    UnknownReason unknownReason = UnknownReason::None;

    /// \brief Takes \a reply if its ranges lie in the shard, overlap nowhere and cover more than what is held.
    /// \returns the keys gained
    std::uint64_t accept(const SubReply& reply);
    /// \returns whether it is not done and was last refused because there was too much to do
    bool refusedByOverload() const;
};

/// \brief Merges what \a shards have into the outcome, coverage and hits of \a answer.
/// \param mayHaveRun whether sub-queries of an abandoned plan may have run
/// \param repeatable whether the query is
void mergeShards(const std::vector<ShardProgress>& shards, bool mayHaveRun, bool repeatable, Answer& answer);

} // namespace pimentopoint::internal
