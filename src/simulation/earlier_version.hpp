#pragma once
/// @file What passes between a node of today's version and one of an earlier version.

#include "wire/messages_generated.h"

namespace madderdeck::simulation {

/// Takes out of @p message what nodes did not say before ages of lists were asked for and news acknowledged: an earlier
/// node neither sends it nor reads it.
/// @return whether an earlier node knows this kind of message.
bool reduce_to_earlier_version(wire::MessageUnion& message);

}  // namespace madderdeck::simulation
