#include "batch/item.hpp"

#include <boost/json.hpp>

namespace madderdeck::batch {

Result<Item> parse_item(std::string_view line) {
  boost::system::error_code failure;
  const auto value = boost::json::parse(boost::json::string_view(line.data(), line.size()), failure);
  if (failure || !value.is_object()) {
    return Error{ErrorKind::invalid_argument, "item: not a JSON object"};
  }
  Item item;
  const auto* prompt = value.as_object().if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return Error{ErrorKind::invalid_argument, "prompt: a string is needed"};
  }
  item.prompt = std::string(prompt->as_string());
  if (const auto* tokens = value.as_object().if_contains("max_tokens")) {
    if (!tokens->is_int64() || tokens->as_int64() < 1 || tokens->as_int64() > UINT32_MAX) {
      return Error{ErrorKind::invalid_argument, "max_tokens: a whole number from 1 is needed"};
    }
    item.max_tokens = static_cast<std::uint32_t>(tokens->as_int64());
  }
  return item;
}

}  // namespace madderdeck::batch
