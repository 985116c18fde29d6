#pragma once
/// @file A clock that goes on while the machine is suspended, and timers by it.

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <ctime>

namespace madderdeck::net {

/// Monotonic since the machine's start, CLOCK_BOOTTIME. Other machines go on measuring leases, deadlines and silences
/// while this one is suspended; the steady clock stands still then, and all of these would seem to hold after it.
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

/// Asio sleeps by a clock that stands still while suspended and looks at the timers again when it wakes: one that
/// became due meanwhile fires with the next timer that was due in any case, on a node within some 100 ms.
using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

}  // namespace madderdeck::net
