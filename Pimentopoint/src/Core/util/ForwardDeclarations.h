/// \file
/// Forward declarations of classes that are used by several modules.
#pragma once

namespace pimentopoint {

class Clock;
class Configuration;
class HostList;
class KeyRange;
class Membership;
class Metrics;
class Random;
class ShareTable;

} // namespace pimentopoint
