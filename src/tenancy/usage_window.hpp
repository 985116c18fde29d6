#pragma once
/// @file Counts uses within a sliding time window.

#include <cstdint>
#include <deque>

#include "common/environment.hpp"

namespace madderdeck::tenancy {

/// Sums the uses of the last span in steps of 50 ms. A use counts for the span and up to one step more, never for less.
/// Memory is bounded by the number of steps in a span. Single threaded.
class usage_window {
 public:
  explicit usage_window(Duration span) : span_(span) {}

  void add(Timestamp now, std::uint32_t count);
  /// @return the number of uses within the span before @p now.
  std::uint32_t sum(Timestamp now) const;
  /// @return the time until at least @p count of the uses in the window have expired; the whole span if it holds fewer.
  Duration time_until_freed(Timestamp now, std::uint32_t count) const;

 private:
  struct step {
    std::int64_t number = 0;
    std::uint32_t count = 0;
  };

  void remove_expired(Timestamp now);
  Timestamp expires_at(const step& one) const;

  const Duration span_;
  std::deque<step> steps_;
  std::uint32_t sum_ = 0;
};

}  // namespace madderdeck::tenancy
