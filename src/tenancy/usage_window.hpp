#pragma once
/// @file Counts what was used within a sliding span of time.

#include <cstdint>
#include <deque>

#include "common/environment.hpp"

namespace madderdeck::tenancy {

/// Sums over the last span, kept by steps of 50 ms: a use counts for the span and up to one step more, never for less.
/// Memory is bounded by the steps of a span. Single threaded.
class usage_window {
 public:
  explicit usage_window(Duration span) : span_(span) {}

  void add(Timestamp now, std::uint32_t count);
  /// @return what was used within the span before @p now.
  std::uint32_t sum(Timestamp now) const;
  /// @return how long until at least @p count of what is in the window has left it; the whole span where it holds less.
  Duration until_freed(Timestamp now, std::uint32_t count) const;

 private:
  struct step {
    std::int64_t number = 0;
    std::uint32_t count = 0;
  };

  void forget_old(Timestamp now);
  Timestamp leaves_at(const step& one) const;

  const Duration span_;
  std::deque<step> steps_;
  std::uint32_t sum_ = 0;
};

}  // namespace madderdeck::tenancy
