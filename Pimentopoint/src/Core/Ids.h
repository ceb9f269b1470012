/// \file
/// Strong types for identifiers and versions.
#pragma once

#include "StrongValue.h"
#include "util/Macros.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentopoint {

/// Name of a target in the configuration.
PP_STRONG_TYPE(TargetName, std::string);
/// 64-bit hash of a TargetName, sent in messages in place of the name.
PP_STRONG_TYPE(TargetId, std::uint64_t);
/// Name of a service: a set of targets that serve the same requests.
PP_STRONG_TYPE(ServiceName, std::string);
/// Name of a route in the routing table.
PP_STRONG_TYPE(RouteName, std::string);
/// Number of one attempt of a request at a target, unique within a process.
PP_STRONG_TYPE(AttemptNumber, std::uint64_t);
/// Number of a caller's request, unique within a process.
PP_STRONG_TYPE(CallId, std::uint64_t);
/// Fingerprint of a request's content; requests with equal content have equal fingerprints.
PP_STRONG_TYPE(RequestFingerprint, std::uint64_t);
/// Identifies a read of updates within one process.
PP_STRONG_TYPE(ReadNumber, std::uint64_t);
/// Counts the times at which the platform's store returned from an older copy; revisions of different eras can't be compared.
PP_STRONG_TYPE(StoreEra, std::uint64_t);
/// Name of a data centre.
PP_STRONG_TYPE(DataCentreName, std::string);
/// Name of one process of the system, unique among the running processes.
PP_STRONG_TYPE(MemberName, std::string);
/// Name of a search front.
PP_STRONG_TYPE(SearchFrontName, std::string);
/// Version of the published configuration; totally ordered.
PP_STRONG_TYPE(ConfigurationVersion, std::uint64_t);
/// Version of the published list of hosts; totally ordered.
PP_STRONG_TYPE(HostListVersion, std::uint64_t);
/// Version of an index; an answer is computed from exactly one version.
PP_STRONG_TYPE(SnapshotVersion, std::uint64_t);
/// Start time of a process in microseconds since the epoch; it increases with each restart.
PP_STRONG_TYPE(Incarnation, std::uint64_t);
/// Number of a query, unique within one incarnation of a front.
PP_STRONG_TYPE(QueryId, std::uint64_t);
/// Hash of the bytes of a published document.
PP_STRONG_TYPE(Digest, std::uint64_t);

/// \returns the 64-bit hash of \a bytes
std::uint64_t hashOf(std::string_view bytes);
/// \returns the id that represents \a name in messages
TargetId targetIdOf(const TargetName& name);

} // namespace pimentopoint
