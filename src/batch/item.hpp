#pragma once
/// @file One line of a batch job.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"

namespace madderdeck::batch {

/// A JSON object with "prompt" and, optionally, "max_tokens" and "custom_id".
struct Item {
  std::string prompt;
  std::optional<std::uint32_t> max_tokens;
};

/// @return the item, or ErrorKind::invalid_argument naming the invalid field.
Result<Item> parse_item(std::string_view line);

}  // namespace madderdeck::batch
