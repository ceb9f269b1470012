/// \file
/// Forward declarations of the classes that cross module borders.
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
