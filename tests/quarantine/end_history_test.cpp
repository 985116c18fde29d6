#include "quarantine/end_history.hpp"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::quarantine;
using madderdeck::routing::request_fingerprint;

namespace {

constexpr UnixMilliseconds kNow = 1'000'000'000;
constexpr request_fingerprint kRequest{1, 2};

backend_termination end_of(unsigned backend, UnixMilliseconds at) {
  return {BackendId("engine-" + std::to_string(backend)), at};
}

}  // namespace

TEST_CASE("a request is held back once three back ends have ended under it") {
  end_history history;
  CHECK(history.record(kRequest, end_of(1, kNow), kNow));
  CHECK(history.record(kRequest, end_of(2, kNow + 10), kNow + 10));
  CHECK_FALSE(history.is_quarantined(kRequest));
  CHECK(history.record(kRequest, end_of(3, kNow + 20), kNow + 20));
  CHECK(history.is_quarantined(kRequest));
  CHECK_FALSE(history.is_quarantined({1, 3}));
}

TEST_CASE("one end that several nodes saw, or that is told twice, counts once") {
  end_history history;
  for (const UnixMilliseconds at : {kNow, kNow + 3, kNow + 40, kNow}) {
    history.record(kRequest, end_of(1, at), kNow + 50);
  }
  CHECK(history.ends(kRequest) == 1);
  // A back end that restarts under the same id terminates again only after kSameEndWindowMs.
  CHECK(history.record(kRequest, end_of(1, kNow + end_history::kSameEndWindowMs + 1), kNow + 5'000));
  CHECK(history.ends(kRequest) == 2);
}

// Two nodes with calls on an engine that terminates record the time by their own clocks. If each kept the time that it
// learned first, their digests would differ permanently and they would exchange lists without end.
TEST_CASE("nodes that date one end differently agree once they have told each other") {
  end_history left;
  end_history right;
  left.record(kRequest, end_of(1, kNow), kNow);
  right.record(kRequest, end_of(1, kNow + 40), kNow + 40);
  for (end_history* history : {&left, &right}) {
    history->record(kRequest, end_of(2, kNow + 20), kNow + 40);
  }
  const crash_suspect of_left = *left.find(kRequest);
  CHECK(left.digest() != right.digest());
  CHECK_FALSE(left.merge(*right.find(kRequest), kNow + 50));
  CHECK(right.merge(of_left, kNow + 50));
  CHECK(left.digest() == right.digest());
}

TEST_CASE("nodes that hear of more ends than are kept keep the same ones, whatever the order") {
  end_history forwards;
  end_history backwards;
  for (unsigned backend = 1; backend <= 8; ++backend) {
    forwards.record(kRequest, end_of(backend, kNow + backend), kNow + 10);
    backwards.record(kRequest, end_of(9 - backend, kNow + 9 - backend), kNow + 10);
  }
  CHECK(forwards.find(kRequest)->ends == backwards.find(kRequest)->ends);
  CHECK(forwards.ends(kRequest) == end_history::kMaxEnds);
}

TEST_CASE("a good run acquits of what was before it, in whichever order the news comes") {
  end_history history;
  for (unsigned backend = 1; backend <= 3; ++backend) {
    history.record(kRequest, end_of(backend, kNow + backend), kNow + 10);
  }
  CHECK(history.clear_ends_until(kRequest, kNow + 20));
  CHECK_FALSE(history.is_quarantined(kRequest));
  CHECK_FALSE(history.record(kRequest, end_of(4, kNow + 15), kNow + 30));  // reported late
  CHECK(history.record(kRequest, end_of(5, kNow + 25), kNow + 30));
  CHECK(history.ends(kRequest) == 1);
  CHECK_FALSE(history.clear_ends_until({7, 7}, kNow));  // no entry is created for a request that is not suspected
  CHECK(history.size() == 1);
}

TEST_CASE("what only ran beside a fatal request is not held back with it") {
  constexpr request_fingerprint kFatal{1, 1};
  constexpr request_fingerprint kBeside{2, 2};
  end_history history;
  for (unsigned backend = 1; backend <= 3; ++backend) {
    history.record(kFatal, end_of(backend, kNow + backend), kNow + 10);
    history.record(kBeside, end_of(backend, kNow + backend + 2), kNow + 10);  // time reported by another node
  }
  // It is not known yet which of the two is fatal.
  CHECK_FALSE(history.is_quarantined(kFatal));
  CHECK_FALSE(history.is_quarantined(kBeside));
  SECTION("the one that ends a fourth back end alone") {
    history.record(kFatal, end_of(4, kNow + 100), kNow + 100);
    CHECK(history.is_quarantined(kFatal));
    CHECK_FALSE(history.is_quarantined(kBeside));
  }
  SECTION("the other one's good run") {
    history.clear_ends_until(kBeside, kNow + 100);
    CHECK(history.is_quarantined(kFatal));
    CHECK_FALSE(history.is_quarantined(kBeside));
  }
  SECTION("two fatal ones that met once are both held back with a fourth") {
    end_history both;
    for (unsigned backend = 1; backend <= 3; ++backend) {
      both.record(kFatal, end_of(backend, kNow), kNow);
      both.record(kBeside, end_of(backend + 2, kNow), kNow);
    }
    CHECK_FALSE(both.is_quarantined(kFatal));
    both.record(kFatal, end_of(8, kNow), kNow);
    both.record(kBeside, end_of(9, kNow), kNow);
    CHECK(both.is_quarantined(kFatal));
    CHECK(both.is_quarantined(kBeside));
  }
  SECTION("whoever else was there, five are enough") {
    for (unsigned backend = 4; backend <= 5; ++backend) {
      history.record(kFatal, end_of(backend, kNow), kNow);
      history.record(kBeside, end_of(backend, kNow), kNow);
    }
    CHECK(history.is_quarantined(kFatal));
    CHECK(history.is_quarantined(kBeside));
  }
}

// Guards against quarantining a harmless batch item that ran beside two fatal requests and a third one, on five engines
// that terminated within six seconds. It has as many early terminations as each fatal request, so it seemed to explain
// theirs, and five of any kind used to suffice regardless of the others. Times and engines are those of hardening
// schedule 360, in which this happened.
TEST_CASE("what ran beside several fatal requests is not held back for what each of them did") {
  constexpr request_fingerprint kOne{1, 1};
  constexpr request_fingerprint kOther{2, 2};
  constexpr request_fingerprint kBeside{3, 3};
  struct time_of_end {
    unsigned backend;
    UnixMilliseconds since;
  };
  end_history history;
  const auto record = [&history](const request_fingerprint& request, const std::vector<time_of_end>& ends) {
    for (const auto& [backend, since] : ends) {
      history.record(request, end_of(backend, kNow + since), kNow + 9'000);
    }
  };
  record(kOne, {{3, 43}, {2, 107}, {1, 5'116}, {2, 5'260}});
  record(kOther, {{1, 357}, {0, 394}, {3, 634}, {3, 5'978}});
  record(kBeside, {{2, 107}, {1, 357}, {0, 627}, {2, 5'260}});
  backend_termination after_long_answer = end_of(3, kNow + 5'978);
  after_long_answer.advanced = true;
  history.record(kBeside, after_long_answer, kNow + 9'000);
  REQUIRE(history.ends(kBeside) == end_history::kMaxEnds);
  CHECK(history.is_quarantined(kOne));
  CHECK(history.is_quarantined(kOther));
  CHECK_FALSE(history.is_quarantined(kBeside));
}

TEST_CASE("ends of runs that had been answered for a while count as accidents, up to five") {
  end_history history;
  for (unsigned backend = 1; backend <= 4; ++backend) {
    backend_termination late = end_of(backend, kNow);
    late.advanced = true;
    history.record(kRequest, late, kNow);
  }
  CHECK_FALSE(history.is_quarantined(kRequest));
  SECTION("two early ones beside them make no three") {
    end_history mixed;
    for (unsigned backend = 1; backend <= 4; ++backend) {
      mixed.record(kRequest, {BackendId(std::to_string(backend)), kNow, backend > 2}, kNow);
    }
    CHECK_FALSE(mixed.is_quarantined(kRequest));
    // A second copy of the request had just begun on the third back end.
    CHECK(mixed.record(kRequest, {BackendId("3"), kNow, false}, kNow));
    CHECK(mixed.is_quarantined(kRequest));
  }
  SECTION("the fifth") {
    history.record(kRequest, {BackendId("engine-5"), kNow, true}, kNow);
    CHECK(history.is_quarantined(kRequest));
  }
}

TEST_CASE("what is held back is forgotten when nobody has asked for it for long") {
  end_history history;
  for (unsigned backend = 1; backend <= 3; ++backend) {
    history.record(kRequest, end_of(backend, kNow), kNow);
  }
  history.forget_old(kNow + end_history::kRetentionMs);
  CHECK(history.is_quarantined(kRequest));
  history.note_held_back(kRequest, kNow + end_history::kRetentionMs);
  history.forget_old(kNow + 2 * end_history::kRetentionMs);
  CHECK(history.is_quarantined(kRequest));
  history.forget_old(kNow + 2 * end_history::kRetentionMs + 1);
  CHECK(history.empty());
  CHECK_FALSE(history.record(kRequest, end_of(1, kNow),
                             kNow + end_history::kRetentionMs + 1));  // reported by a peer that still has it
}

TEST_CASE("thousands of other requests do not push out one that is held back, nor grow without bound") {
  end_history history;
  for (unsigned backend = 1; backend <= 3; ++backend) {
    history.record(kRequest, end_of(backend, kNow), kNow);
  }
  for (std::uint64_t other = 10; other < 20'000; ++other) {
    history.record({other, other}, end_of(1, kNow + other), kNow + other);
    history.record({other, other}, end_of(2, kNow + other), kNow + other);
  }
  CHECK(history.is_quarantined(kRequest));
  CHECK(history.size() == end_history::kMaxSuspects);
}

TEST_CASE("histories that have merged each other's share the same") {
  rc::prop("any order, any number of times", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& events) {
    end_history left;
    end_history right;
    for (const auto& [which, backend] : events) {
      end_history& one = which % 2 == 0 ? left : right;
      // Terminations of different back ends, far apart in time, so that no two reports are taken for one termination.
      const UnixMilliseconds at = kNow + backend * 10'000ULL;
      if (which % 8 >= 6) {
        one.clear_ends_until({which / 64U, 0}, at + 1);
      } else {
        one.record({which / 64U, 0}, end_of(backend, at), at);
      }
    }
    const auto exchange = [](const end_history& from, end_history& to) {
      for (const crash_suspect& told : from.shared(1'000)) {
        to.merge(told, kNow);
      }
    };
    for (int round = 0; round < 3; ++round) {
      exchange(left, right);
      exchange(right, left);
    }
    for (std::uint64_t request = 0; request < 4; ++request) {
      RC_ASSERT(left.is_quarantined({request, 0}) == right.is_quarantined({request, 0}));
    }
    RC_ASSERT(left.digest() == right.digest());
  });
}

namespace {

constexpr std::uint32_t kDeep = 1;

suspect_id part(std::uint64_t number, std::uint32_t rank = kDeep) {
  return {{7, number}, suspect_kind::prompt_part, rank};
}

/// Back end @p backend terminates while it runs a request with @p parts; the request is told by @p carrier.
void ends_under(end_history& history, unsigned backend, std::uint64_t carrier, const std::vector<suspect_id>& parts) {
  const UnixMilliseconds at = kNow + 300 * backend;
  backend_termination end = end_of(backend, at);
  history.record({{9, carrier}}, end, at);
  end.carrier = carrier;
  for (const suspect_id& one : parts) {
    history.record(one, end, at);
  }
}

}  // namespace

TEST_CASE("a part under which four back ends have ended, with different requests, is held back") {
  end_history history;
  for (unsigned end = 1; end <= 4; ++end) {
    CHECK_FALSE(history.is_quarantined(part(1).fingerprint));
    ends_under(history, end, end, {part(1), part(10 + end)});
  }
  CHECK(history.is_quarantined(part(1).fingerprint));
  for (unsigned end = 1; end <= 4; ++end) {
    CHECK_FALSE(history.is_quarantined(part(10 + end).fingerprint));
    CHECK_FALSE(history.is_quarantined({9, end}));
  }
  CHECK(history.held_back(suspect_kind::prompt_part) == 1);
  CHECK(history.held_back(suspect_kind::request) == 0);
}

TEST_CASE("of parts with the same ends the narrowest one is held back") {
  end_history history;
  for (unsigned end = 1; end <= 5; ++end) {
    ends_under(history, end, end, {part(1, 0), part(2, 1), part(3, 2)});
  }
  CHECK_FALSE(history.is_quarantined(part(1).fingerprint));
  CHECK_FALSE(history.is_quarantined(part(2).fingerprint));
  CHECK(history.is_quarantined(part(3).fingerprint));
}

TEST_CASE("a request that is fatal by itself holds back no part of its prompt") {
  end_history history;
  for (unsigned end = 1; end <= 5; ++end) {
    ends_under(history, end, 1, {part(1, 0), part(2)});
  }
  CHECK(history.is_quarantined({9, 1}));
  CHECK_FALSE(history.is_quarantined(part(1).fingerprint));
  CHECK_FALSE(history.is_quarantined(part(2).fingerprint));
  // Others that ran beside it by chance change nothing.
  end_history beside;
  for (unsigned end = 1; end <= 5; ++end) {
    ends_under(beside, end, 1, {part(1, 0), part(2)});
    ends_under(beside, end, 100 + end, {part(1, 0)});
  }
  CHECK(beside.is_quarantined({9, 1}));
  CHECK_FALSE(beside.is_quarantined(part(1).fingerprint));
}

TEST_CASE("a part whose requests come back several times is held back with the third of them") {
  end_history history;
  unsigned backend = 0;
  for (std::uint64_t request = 1; request <= 3; ++request) {
    for (unsigned again = 0; again < (request == 1 ? 3U : 1U); ++again) {
      ends_under(history, ++backend, request, {part(1)});
    }
  }
  CHECK(history.is_quarantined(part(1).fingerprint));
}

TEST_CASE("a good end acquits a part of all ends before it") {
  end_history history;
  for (unsigned end = 1; end <= 4; ++end) {
    ends_under(history, end, end, {part(1, 0), part(2)});
    CHECK(history.clear_ends_until(part(1).fingerprint, kNow + 300 * end + 10));
  }
  CHECK(history.is_quarantined(part(2).fingerprint));
  CHECK(history.ends(part(1).fingerprint) == 0);
  CHECK(history.clear_ends_until(part(2).fingerprint, kNow + 2'000));
  CHECK_FALSE(history.is_quarantined(part(2).fingerprint));
}

// Guards against a common first part that is held back, with all traffic, since it was on every engine that two fatal
// parts had crashed while no engine was up.
TEST_CASE("a proven part is not held back while unproven ones explain its ends") {
  end_history history;
  history.note_answered(part(1, 0), kNow);
  for (unsigned end = 1; end <= 3; ++end) {
    ends_under(history, end, end, {part(1, 0), part(2)});
  }
  for (unsigned end = 4; end <= 5; ++end) {
    ends_under(history, end, end, {part(1, 0), part(3)});
  }
  CHECK_FALSE(history.is_quarantined(part(1).fingerprint));
  ends_under(history, 6, 6, {part(1, 0), part(2)});
  CHECK(history.is_quarantined(part(2).fingerprint));
  CHECK_FALSE(history.is_quarantined(part(1).fingerprint));
}

TEST_CASE("a proven part that has become fatal is held back") {
  end_history history;
  history.note_answered(part(1, 0), kNow);
  for (unsigned end = 1; end <= 5; ++end) {
    ends_under(history, end, end, {part(1, 0), part(10 + end)});
  }
  CHECK(history.is_quarantined(part(1).fingerprint));
}

TEST_CASE("nodes that learn of the ends of requests and parts in another order hold back the same") {
  rc::prop("parts", [] {
    std::vector<std::pair<suspect_id, backend_termination>> events;
    const auto count = *rc::gen::inRange(1U, 30U);
    for (unsigned number = 0; number < count; ++number) {
      const auto carrier = *rc::gen::inRange<std::uint64_t>(1, 5);
      backend_termination end = end_of(*rc::gen::inRange(1U, 7U), kNow + *rc::gen::inRange<std::uint64_t>(0, 1'000));
      events.emplace_back(suspect_id{{9, carrier}}, end);
      end.carrier = carrier;
      events.emplace_back(part(*rc::gen::inRange<std::uint64_t>(1, 4), 0), end);
    }
    end_history left;
    end_history right;
    for (const auto& [suspect, end] : events) {
      left.record(suspect, end, kNow);
    }
    std::reverse(events.begin(), events.end());
    for (const auto& [suspect, end] : events) {
      right.record(suspect, end, kNow);
    }
    for (std::uint64_t number = 1; number < 5; ++number) {
      RC_PRE(left.ends({9, number}) < end_history::kMaxEnds);
      RC_PRE(left.ends(part(number).fingerprint) < end_history::kMaxEnds);
    }
    RC_ASSERT(left.digest() == right.digest());
    for (std::uint64_t number = 1; number < 5; ++number) {
      RC_ASSERT(left.is_quarantined({9, number}) == right.is_quarantined({9, number}));
      RC_ASSERT(left.is_quarantined(part(number).fingerprint) == right.is_quarantined(part(number).fingerprint));
    }
  });
}

// Guards against a fatal request that hides behind a sound one which is on all back ends.
TEST_CASE("a fatal request with the same ends as one that ended well before is held back, the other is not") {
  const request_fingerprint sound{1, 1};
  const request_fingerprint fatal{2, 2};
  end_history history;
  constexpr UnixMilliseconds kNow = 1'000'000;
  history.note_answered({sound}, kNow - 1);
  for (UnixMilliseconds end = 0; end < 3; ++end) {
    const backend_termination at{BackendId("e" + std::to_string(end)), kNow + end};
    history.record(sound, at, kNow);
    history.record(fatal, at, kNow);
  }
  CHECK(history.is_quarantined(fatal));
  CHECK_FALSE(history.is_quarantined(sound));
  CHECK_FALSE(history.is_ambiguous(sound));
}
