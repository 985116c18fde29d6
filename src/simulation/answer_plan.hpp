#pragma once
/// @file What an engine of the simulation sends in answer to one request, and how that ends.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http_types.hpp"
#include "simulation/world.hpp"

namespace madderdeck::simulation {

/// Kinds of requests whose answers are broken off.
enum class answered_kind { stream, resumable_stream, repeatable, unrepeatable };
inline constexpr unsigned kAnsweredKinds = 4;
inline constexpr char kStreamPath[] = "/stream";
inline constexpr char kPlainPath[] = "/plain";

/// @return the pieces of the whole answer to a request for @p target; of a stream each is an event.
std::vector<std::string> whole_answer(const std::string& target);
std::string joined(const std::vector<std::string>& pieces);
/// @return whether @p text is a number of whole pieces of the answer to a request for @p target.
bool is_whole_pieces(const std::string& target, const std::string& text);

/// How an answer is broken off.
enum class answer_break {
  closed,   ///< The connection is closed in order.
  reset,    ///< It is reset.
  silent,   ///< Nothing more comes.
  ended,    ///< The framing says that it is whole.
  no_head,  ///< The connection is closed before the head.
};
inline constexpr unsigned kAnswerBreaks = 5;

/// The answer to one send.
struct answer_plan {
  net::body_framing framing = net::body_framing::chunks;
  std::vector<std::string> pieces;
  std::optional<std::size_t>
      cut;  ///< Bytes of the body that are sent before it is broken off; empty: all, and it ends well.
  answer_break how = answer_break::closed;

  /// @return whether the bytes up to @p sent, followed by an orderly close, look like a whole answer to anybody.
  bool looks_whole(std::size_t sent, bool stream) const;
};

/// @param resume_after last event that the caller has.
/// @param fault_percent of answers that are broken off.
answer_plan draw_answer(Random& random, const std::string& target, std::uint64_t resume_after, unsigned fault_percent);

}  // namespace madderdeck::simulation
