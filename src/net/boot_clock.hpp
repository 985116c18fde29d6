#pragma once
/// @file A clock that continues while the machine is suspended, and timers based on it.

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <ctime>

namespace madderdeck::net {

/// Monotonic time since boot, CLOCK_BOOTTIME. Other machines continue to measure leases, deadlines and reply timeouts
/// while this one is suspended; the steady clock stops then, so expired ones would seem valid after resuming.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
  }
};

/// Asio sleeps by a clock that stops during a suspension and checks its timers when it wakes: a timer that expired
/// during the suspension fires together with the next timer that expires, on a node within some 100 ms.
using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

}  // namespace madderdeck::net
