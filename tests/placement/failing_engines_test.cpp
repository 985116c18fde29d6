#include "placement/failing_engines.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::placement;

namespace {
const BackendId kEngine("e");
}

TEST_CASE("two failures within a second eject an engine, a single one does not") {
  failing_engines failing;
  failing.record(kEngine, call_failure_kind::broken, 10s);
  CHECK_FALSE(failing.is_ejected(kEngine, 10s));
  failing.record(kEngine, call_failure_kind::broken, 11500ms);
  CHECK_FALSE(failing.is_ejected(kEngine, 11500ms));
  failing.record(kEngine, call_failure_kind::broken, 11600ms);
  CHECK(failing.is_ejected(kEngine, 11600ms));
  CHECK(failing.is_ejected(kEngine, 13500ms));
  CHECK_FALSE(failing.is_ejected(kEngine, 13600ms));
}

TEST_CASE("an engine that cannot be reached is ejected at once") {
  failing_engines failing;
  failing.record(kEngine, call_failure_kind::unreachable, 10s);
  CHECK(failing.is_ejected(kEngine, 11s));
}

TEST_CASE("an engine that fails again soon after its return is ejected for twice as long, up to 8 s") {
  failing_engines failing;
  Timestamp now = 10s;
  failing.record(kEngine, call_failure_kind::unreachable, now);
  for (const Duration ejection : {2s, 4s, 8s, 8s}) {
    CHECK(failing.is_ejected(kEngine, now + ejection - 1ms));
    now += ejection;
    CHECK_FALSE(failing.is_ejected(kEngine, now));
    now += 500ms;
    failing.record(kEngine, call_failure_kind::broken, now);
  }
}

TEST_CASE("failures of calls that were sent before an ejection do not extend it") {
  failing_engines failing;
  failing.record(kEngine, call_failure_kind::unreachable, 10s);
  for (int call = 0; call < 8; ++call) {
    failing.record(kEngine, call_failure_kind::broken, 10100ms);
  }
  CHECK_FALSE(failing.is_ejected(kEngine, 12s));
}

TEST_CASE("an engine that was healthy for long loses its failure history") {
  failing_engines failing;
  failing.record(kEngine, call_failure_kind::unreachable, 10s);
  failing.record(kEngine, call_failure_kind::unreachable, 12500ms);
  failing.remove_expired(40s);
  failing.record(kEngine, call_failure_kind::broken, 40s);
  CHECK_FALSE(failing.is_ejected(kEngine, 40s));
}

TEST_CASE("failures of a small fraction of an engine's calls do not eject it") {
  failing_engines engines;
  const BackendId busy("busy");
  Timestamp now = 10s;
  for (int call = 0; call < 400; ++call) {
    now += 20ms;  // 50 calls per second
    engines.count_call(busy, now);
    if (call % 15 == 0) {
      engines.record(busy, call_failure_kind::broken, now);  // about 3 of 50 calls fail
    }
  }
  CHECK_FALSE(engines.is_ejected(busy, now));
  // From now on, every second call fails.
  for (int call = 0; call < 60; ++call) {
    now += 20ms;
    engines.count_call(busy, now);
    if (call % 2 == 0) {
      engines.record(busy, call_failure_kind::broken, now);
    }
  }
  CHECK(engines.is_ejected(busy, now));
}
