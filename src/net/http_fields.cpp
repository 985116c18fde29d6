#include "net/http_fields.hpp"

#include <algorithm>

namespace madderdeck::net {
namespace {

constexpr unsigned char kDelete = 0x7F;
constexpr unsigned char kFirstPrintable = 0x20;

bool is_control(char sign) {
  const auto byte = static_cast<unsigned char>(sign);
  return byte < kFirstPrintable || byte == kDelete;
}

bool is_token_sign(char sign) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  const bool letter = (sign >= 'a' && sign <= 'z') || (sign >= 'A' && sign <= 'Z');
  const bool digit = sign >= '0' && sign <= '9';
  return letter || digit || kOthers.find(sign) != std::string_view::npos;
}

}  // namespace

bool is_token(std::string_view text) {
  return !text.empty() && text.size() <= kMaxFieldBytes && std::all_of(text.begin(), text.end(), is_token_sign);
}

bool is_field_value(std::string_view text) {
  return text.size() <= kMaxFieldBytes &&
         std::none_of(text.begin(), text.end(), [](char sign) { return is_control(sign) && sign != '\t'; });
}

bool is_request_target(std::string_view text) {
  return text.starts_with('/') && text.size() <= kMaxFieldBytes &&
         std::none_of(text.begin(), text.end(), [](char sign) { return is_control(sign) || sign == ' '; });
}

std::optional<std::string> find_unsendable(const HttpRequest& request) {
  if (!is_token(request.method)) {
    return "method";
  }
  if (!is_request_target(request.target)) {
    return "target";
  }
  for (const Header& header : request.headers) {
    if (!is_token(header.name)) {
      return "name of a header field";
    }
    if (!is_field_value(header.value)) {
      return "header field " + header.name;
    }
  }
  return std::nullopt;
}

}  // namespace madderdeck::net
