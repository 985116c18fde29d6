#pragma once
/// @file A caller that tells what it got and what it had to take it for.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "net/http_types.hpp"

namespace madderdeck::tests {

/// What a caller got on one connection in answer to its first request.
struct caller_answer {
  bool ended = false;   ///< The answer is complete, or the connection is.
  unsigned status = 0;  ///< 0: no whole head.
  net::Headers headers;
  net::body_framing framing = net::body_framing::length;
  bool looks_complete = false;  ///< By its framing; one without ends with an orderly close.
  std::string body;
  bool malformed = false;  ///< Bytes came that belong to no answer, within it or after it.
};

/// Sends @p bytes to @p endpoint ("ip:port") on a connection of its own and reads until the answer or the connection
/// ends.
/// @return what came so far; `ended` when it is all.
std::shared_ptr<const caller_answer> call_raw(boost::asio::io_context& context, const std::string& endpoint,
                                              std::string bytes);

}  // namespace madderdeck::tests
