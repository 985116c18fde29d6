#pragma once
/// @file Checks what goes into the head of an HTTP message (RFC 9110 and 9112).

#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.hpp"

namespace madderdeck::net {

/// Largest name or value of a header field: the HTTP library holds 16 bits of a length, line ends included.
inline constexpr std::size_t kMaxFieldBytes = 65'000;

/// @return whether @p text is a token, as names of methods and header fields are.
bool is_token(std::string_view text);
/// @return whether @p text may be the value of a header field: no control characters but tabs, and not too long.
bool is_field_value(std::string_view text);
/// @return whether @p text may be a request target in origin form: it begins with a slash and has neither spaces nor
///         control characters.
bool is_request_target(std::string_view text);
/// @return what of the head of @p request cannot be sent; nothing if all of it can.
std::optional<std::string> find_unsendable(const HttpRequest& request);

}  // namespace madderdeck::net
