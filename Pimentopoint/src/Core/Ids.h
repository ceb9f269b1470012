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
/// 64-bit hash of a TargetName; travels in place of the name.
PP_STRONG_TYPE(TargetId, std::uint64_t);
/// Name of a service: targets that answer the same requests.
PP_STRONG_TYPE(ServiceName, std::string);
/// Name of a route in the routing table.
PP_STRONG_TYPE(RouteName, std::string);
/// Number of one send of a request to a target, unique within a process.
PP_STRONG_TYPE(AttemptNumber, std::uint64_t);
/// Number of a caller's request at this process.
PP_STRONG_TYPE(CallId, std::uint64_t);
/// Name of a data centre.
PP_STRONG_TYPE(DataCentreName, std::string);
/// Name of one process of the system, unique among the running ones.
PP_STRONG_TYPE(MemberName, std::string);
/// Name of a search front.
PP_STRONG_TYPE(SearchFrontName, std::string);
/// Version of the published configuration; totally ordered.
PP_STRONG_TYPE(ConfigurationVersion, std::uint64_t);
/// Version of the published list of hosts; totally ordered.
PP_STRONG_TYPE(HostListVersion, std::uint64_t);
/// Version of an index; an answer comes from exactly one.
PP_STRONG_TYPE(SnapshotVersion, std::uint64_t);
/// Start of one process in microseconds since the epoch; a restart has a larger one.
PP_STRONG_TYPE(Incarnation, std::uint64_t);
/// Number of a query within one front incarnation.
PP_STRONG_TYPE(QueryId, std::uint64_t);
/// Hash of the bytes of a published document.
PP_STRONG_TYPE(Digest, std::uint64_t);

/// \returns the 64-bit hash of \a bytes
std::uint64_t hashOf(std::string_view bytes);
/// \returns the id that stands for \a name on the wire
TargetId targetIdOf(const TargetName& name);

} // namespace pimentopoint
