#pragma once
/// @file Why an item of a batch job has failed for good. The reason is kept apart from the item's output everywhere.

#include <string>
#include <string_view>

#include "wire/messages_generated.h"

namespace madderdeck::batch {

/// @return what readers of the job's results are told about @p failure; empty for ItemFailure::None.
std::string_view failure_description(wire::ItemFailure failure);

/// @return the name of @p failure in log lines.
std::string_view item_failure_name(wire::ItemFailure failure);

/// @return what readers are told in place of an output that @p record does not have; empty if the item did not fail.
std::string_view failure_text(const wire::ResultRecordT& record);

/// Earlier versions reported the reason of a failure as the item's output, which later runs continued.
/// @return whether @p output may have come about like this.
bool begins_with_reason_of_earlier_version(std::string_view output);

}  // namespace madderdeck::batch
