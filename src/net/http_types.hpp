#pragma once
/// @file HTTP message types for the rest of the program, so that Boost.Beast is used only in src/net.

#include <string>
#include <string_view>
#include <vector>

namespace madderdeck::net {

struct Header {
  std::string name;
  std::string value;
};
using Headers = std::vector<Header>;

/// @return value of the header @p name (any case), or an empty text.
std::string_view find_header(const Headers& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query.
  Headers headers;
  std::string body;

  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  /// @return the decoded value of query parameter @p name, or an empty text.
  std::string query(std::string_view name) const;
};

/// How a message marks the end of its body.
enum class body_framing {
  length,       ///< The message states its length, or it cannot have a body.
  chunks,       ///< The body ends with the last chunk.
  until_close,  ///< No mark: the body ends with the connection, and a complete one looks like a truncated one.
};

/// @return the name of the framing for log lines.
inline std::string_view body_framing_name(body_framing framing) {
  switch (framing) {
    case body_framing::length:
      return "length";
    case body_framing::chunks:
      return "chunks";
    case body_framing::until_close:
      break;
  }
  return "until_close";
}

/// Head of a response whose body has not been received yet.
struct ResponseHead {
  unsigned status = 0;
  Headers headers;
  body_framing framing = body_framing::length;
};

struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  Headers headers;
  std::string body;
};

/// Parses an "ip:port" text; nothing if it is malformed.
struct Endpoint {
  std::string ip;
  unsigned short port = 0;
};
bool parse_endpoint(std::string_view text, Endpoint& endpoint);

}  // namespace madderdeck::net
