#pragma once
/// @file For how long a back end may be used whose entry has gone from the machine list without a word.

#include "common/environment.hpp"

namespace madderdeck::routing {

/// An entry that is no longer listed.
struct lapse {
  Timestamp heard_at{};         ///< When this node learnt of it.
  Timestamp unchanged_until{};  ///< The entry was surely still listed then; zero: not known.

  bool operator==(const lapse&) const = default;
};

/// Entries that lapsed because the list's keeper was away are back within about 2 s of its return: 1.8 s after the
/// lapse was heard of.
inline constexpr Duration kBackAfterOutage = 1800ms;
/// The same where no back end of the pool is listed: whoever is still missing then is gone.
inline constexpr Duration kBackAfterOutageOfPool = 2400ms;
/// Part of the notice that is kept for what lies between the choice of a back end and the request's arrival there.
inline constexpr int kNoticeReserve = 4;

/// @return whether the list itself was out of reach for so long that entries may have lapsed for that reason alone.
inline bool list_was_away(const lapse& how, Duration notice) {
  return notice.count() == 0 || how.unchanged_until.count() == 0 || how.heard_at - how.unchanged_until > notice;
}

/// A back end whose entry goes while the list is in reach has left, and serves on for its notice only, counted from the
/// change of the list and not from when this node hears of it.
/// @param notice as told by the platform; zero: not told.
/// @param whole_pool whether no back end of the pool is listed.
inline Timestamp used_until(const lapse& how, Duration notice, bool whole_pool) {
  if (list_was_away(how, notice)) {
    return how.heard_at + (whole_pool ? kBackAfterOutageOfPool : kBackAfterOutage);
  }
  return how.unchanged_until + notice - notice / kNoticeReserve;
}

}  // namespace madderdeck::routing
