#include "simulation/answer_plan.hpp"

namespace madderdeck::simulation {
namespace {

constexpr unsigned kEvents = 12;  ///< Of a stream.
constexpr unsigned kPlainPieces = 3;
constexpr unsigned kFramings = 3;

bool is_stream(const std::string& target) { return target.starts_with(kStreamPath); }

std::string event_text(unsigned number) {
  const bool long_lines = number % 3 == 0;
  const std::string line_end = long_lines ? "\r\n" : "\n";
  const std::string more = long_lines ? "data: more" + line_end : "";
  return "id: " + std::to_string(number) + line_end + "data: " + std::to_string(number * number) + line_end + more +
         line_end;
}

}  // namespace

std::vector<std::string> whole_answer(const std::string& target) {
  std::vector<std::string> pieces;
  for (unsigned number = 1; number <= (is_stream(target) ? kEvents : kPlainPieces); ++number) {
    pieces.push_back(is_stream(target) ? event_text(number) : "{\"slot\":" + std::to_string(number) + "}\n");
  }
  return pieces;
}

std::string joined(const std::vector<std::string>& pieces) {
  std::string text;
  for (const std::string& piece : pieces) {
    text += piece;
  }
  return text;
}

bool is_whole_pieces(const std::string& target, const std::string& text) {
  std::string whole;
  for (const std::string& piece : whole_answer(target)) {
    if (whole.size() >= text.size()) {
      break;
    }
    whole += piece;
  }
  return whole == text;
}

bool answer_plan::looks_whole(std::size_t sent, bool stream) const {
  if (framing != net::body_framing::until_close || sent == 0) {
    return false;
  }
  std::size_t whole = 0;
  for (const std::string& piece : pieces) {
    if (whole >= sent) {
      break;
    }
    whole += piece.size();
  }
  return !stream || whole == sent;
}

answer_plan draw_answer(Random& random, const std::string& target, std::uint64_t resume_after, unsigned fault_percent) {
  answer_plan plan;
  plan.pieces = whole_answer(target);
  const std::size_t had = std::min<std::size_t>(resume_after, plan.pieces.size());
  plan.pieces.erase(plan.pieces.begin(), plan.pieces.begin() + static_cast<std::ptrdiff_t>(had));
  plan.framing = static_cast<net::body_framing>(random.below(kFramings));
  if (!random.chance(fault_percent)) {
    return plan;
  }
  plan.how = static_cast<answer_break>(random.below(kAnswerBreaks));
  plan.cut = random.below(joined(plan.pieces).size());
  // An answer that ends well where it should not is one that the engine has framed wrongly: only a cut inside an event
  // shows that.
  const bool stream = is_stream(target);
  const bool shows =
      stream && plan.framing != net::body_framing::until_close && *plan.cut > 0 &&
      !answer_plan{net::body_framing::until_close, plan.pieces, {}, plan.how}.looks_whole(*plan.cut, true);
  if (plan.how == answer_break::ended && !shows) {
    plan.how = answer_break::closed;
  }
  return plan;
}

}  // namespace madderdeck::simulation
