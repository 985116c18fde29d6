#pragma once
/// @file What the nodes knew of a request that ends engines when one of them sent it.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.hpp"

namespace madderdeck::simulation {

/// Why a request was sent that ended a fourth engine or a later one.
enum class send_reason {
  before_third_end,  ///< Under way when the third engine ended.
  before_any_knew,   ///< No node had seen yet that the third engine had ended.
  being_told,        ///< One node had; a message takes as long to the others.
  could_be_known,    ///< One node had for longer, the sender had not heard.
  known,             ///< The sender had three ends, and sent all the same.
};
inline constexpr std::size_t kSendReasons = 5;
/// @return the name of @p reason as it is printed.
const char* send_reason_name(send_reason reason);

/// One send after which an engine ended.
struct fatal_send {
  std::string body;
  unsigned node = 0;
  unsigned engine = 0;
  unsigned end = 0;            ///< Which of the ends this is, from 1.
  Timestamp begun{};           ///< When the node decided to send.
  std::size_t ends_known = 0;  ///< To the sender at that moment.
  bool in_touch = true;        ///< The sender had run and reached all others for 3 s.
};

/// Collects the sends of one schedule. Single threaded.
class fatal_sends {
 public:
  /// A back end was told by one message at once, 1 ms after the third end was seen, and on its way for 1.5 ms at most.
  static constexpr Duration kTelling = 3ms;
  static constexpr unsigned kEndsThatTell = 3;

  /// An engine ended under @p send, whose number is given here.
  void ended(fatal_send send, Timestamp at);
  /// A node knows three ends of @p body at @p at; the first time counts.
  void known(const std::string& body, Timestamp at);
  /// @return whether three engines ended under @p body and no node is known to know.
  bool awaits_knowledge(const std::string& body) const;
  Timestamp third_end_at(const std::string& body) const { return histories_.at(body).third_end_at; }

  /// A send beyond the third end, and why it was not held back.
  struct finding {
    fatal_send send;
    send_reason reason = send_reason::known;
    Duration after_third_end{};  ///< Negative: it began before.
    std::optional<Duration> after_known{};
  };
  /// @return each send that ended a fourth engine or a later one.
  std::vector<finding> over_three() const;

 private:
  struct history {
    Timestamp third_end_at{};
    std::optional<Timestamp> known_at;
    std::vector<fatal_send> sends;
  };
  static finding judge(const history& of, const fatal_send& send);

  std::map<std::string, history> histories_;
};

}  // namespace madderdeck::simulation
