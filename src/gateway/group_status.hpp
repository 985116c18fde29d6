#pragma once
/// @file The replica groups as a node's status shows them.

#include <boost/json.hpp>

#include "ledger/group_health.hpp"

namespace madderdeck::gateway {

/// @return each group with its members as @p health sees them and, of one without a majority, the disks that it names
///         and that are gone for good.
boost::json::array describe_groups(const ledger::group_health& health);

}  // namespace madderdeck::gateway
