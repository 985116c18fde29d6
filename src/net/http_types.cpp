#include "net/http_types.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/url.hpp>
#include <charconv>

namespace madderdeck::net {

std::string_view find_header(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (boost::beast::iequals(header.name, boost::beast::string_view(name.data(), name.size()))) {
      return header.value;
    }
  }
  return {};
}

std::string HttpRequest::query(std::string_view name) const {
  const auto parsed = boost::urls::parse_origin_form(target);
  if (!parsed) {
    return {};
  }
  for (const auto& parameter : parsed->params()) {
    if (std::string_view(parameter.key) == name) {
      return std::string(parameter.value);
    }
  }
  return {};
}

bool parse_endpoint(std::string_view text, Endpoint& endpoint) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  endpoint.ip = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto parsed = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  boost::system::error_code failure;
  boost::asio::ip::make_address(endpoint.ip, failure);
  return parsed.ec == std::errc() && parsed.ptr == port.data() + port.size() && !failure && endpoint.port != 0;
}

}  // namespace madderdeck::net
