#include "routing/repeat_guard.hpp"

namespace madderdeck::routing {

void break_history::report(repeat_guard& guard, const broken_call& call, std::function<void()> go_on) {
  const bool waits = broke_before_ || guard.suspects(call.suspects);
  broke_before_ = true;
  // The call, and with it this object, may be gone by the time the result arrives; the counter is shared.
  guard.call_broke(call, [ends = terminations_, waits, go_on](bool ended) {
    *ends += ended ? 1 : 0;
    if (waits) {
      go_on();
    }
  });
  if (!waits) {
    go_on();
  }
}

}  // namespace madderdeck::routing
