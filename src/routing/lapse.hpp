#pragma once
/// @file For how long a back end may still be used after its entry disappeared from the machine list unannounced.

#include "common/environment.hpp"

namespace madderdeck::routing {

/// The disappearance of an entry from the machine list.
struct lapse {
  Timestamp heard_at{};         ///< When this node learnt that the entry is gone.
  Timestamp unchanged_until{};  ///< Latest time at which the entry was certainly still listed; zero: unknown.

  bool operator==(const lapse&) const = default;
};

/// Entries that expired because the store of the machine list was unavailable are listed again within about 2 s of the
/// store's recovery, which is 1.8 s after this node learnt that they had expired.
inline constexpr Duration kRelistedAfterOutage = 1800ms;
/// The same if no back end of the pool is listed. A back end that is not listed again by then has left.
inline constexpr Duration kRelistedAfterPoolOutage = 2400ms;
/// One part in this many of the leave notice is reserved for the time between the choice of a back end and the
/// request's arrival there.
inline constexpr int kNoticeReserveDivisor = 4;

/// @return whether the list itself was unreachable for so long that entries may have expired for that reason alone.
inline bool list_was_unavailable(const lapse& how, Duration notice) {
  return notice.count() == 0 || how.unchanged_until.count() == 0 || how.heard_at - how.unchanged_until > notice;
}

/// If the entry disappeared while the list was reachable, the back end has left. It then serves requests only for the
/// leave notice, counted from the change of the list and not from when this node learnt of the change.
/// @return until when the back end may be used.
/// @param notice the platform's leave notice; zero: unknown.
/// @param whole_pool whether no back end of the pool is listed.
inline Timestamp usable_until(const lapse& how, Duration notice, bool whole_pool) {
  if (list_was_unavailable(how, notice)) {
    return how.heard_at + (whole_pool ? kRelistedAfterPoolOutage : kRelistedAfterOutage);
  }
  return how.unchanged_until + notice - notice / kNoticeReserveDivisor;
}

}  // namespace madderdeck::routing
