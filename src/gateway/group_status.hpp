#pragma once
/// @file Describes the replica groups in a node's status document.

#include <boost/json.hpp>

#include "ledger/group_health.hpp"

namespace madderdeck::gateway {

/// @return each group with the state of its members according to @p health. A group without a majority also lists its
///         permanently gone disks.
boost::json::array describe_groups(const ledger::group_health& health);

}  // namespace madderdeck::gateway
