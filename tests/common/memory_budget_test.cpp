#include "common/memory_budget.hpp"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <list>
#include <vector>

#include "support/kept_lines.hpp"

using namespace madderdeck;

namespace {

constexpr std::int64_t kMb = 1'000'000;
constexpr std::int64_t kCapacity = 100 * kMb;

struct budget_fixture {
  explicit budget_fixture(std::int64_t memory_bytes = memory_budget::kProgramBytes + kCapacity)
      : budget(std::make_shared<memory_budget>(memory_bytes, counters, lines)) {}
  Counters counters;
  tests::kept_lines lines;
  std::shared_ptr<memory_budget> budget;
};

}  // namespace

// Guards against batch jobs that take the memory of live requests, and against both taking that of records.
TEST_CASE("jobs are refused before live requests, and these before frames of peers") {
  budget_fixture fixture;
  memory_budget& budget = *fixture.budget;
  CHECK(budget.reserve(memory_holder::job_bodies, 50 * kMb));
  CHECK_FALSE(budget.reserve(memory_holder::job_bodies, 11 * kMb));
  CHECK(budget.reserve(memory_holder::live_bodies, 30 * kMb));
  CHECK_FALSE(budget.reserve(memory_holder::live_bodies, 6 * kMb));
  CHECK(budget.reserve(memory_holder::peer_frames, 15 * kMb));
  CHECK_FALSE(budget.reserve(memory_holder::peer_frames, 6 * kMb));
  CHECK(budget.reserve(memory_holder::peer_frames, memory_budget::kSmallFrameBytes));
  CHECK(fixture.counters["memory_refused_job_bodies_total"] == 1);
  CHECK(fixture.counters["memory_refused_live_bodies_total"] == 1);
  CHECK(fixture.counters["memory_refused_peer_frames_total"] == 1);
  REQUIRE(fixture.lines.lines.size() == 3);
  CHECK(fixture.lines.lines.at(1) ==
        "memory_refused holder=live_bodies bytes=6000000 held_bytes=80000000 budget_bytes=100000000 "
        "held_by=job_bodies 50000000, live_bodies 30000000");
}

// Guards against a body that is allowed and can never be admitted.
TEST_CASE("a job that is the only one may take what live requests may, and peers still have their share") {
  budget_fixture fixture;
  memory_budget& budget = *fixture.budget;
  CHECK(budget.reserve(memory_holder::job_bodies, 85 * kMb));
  CHECK_FALSE(budget.reserve(memory_holder::job_bodies, 1));
  CHECK(budget.reserve(memory_holder::peer_frames, 15 * kMb));
  budget.add(memory_holder::peer_frames, -15 * kMb);
  budget.add(memory_holder::job_bodies, -85 * kMb);
  CHECK_FALSE(budget.reserve(memory_holder::job_bodies, 85 * kMb + 1));
}

// Guards against new work that is let in while accepted work fills the memory.
TEST_CASE("work in hand is never refused and keeps new work out") {
  budget_fixture fixture;
  memory_hold outbox(fixture.budget, memory_holder::peer_outboxes);
  outbox.set(120 * kMb);
  CHECK(fixture.budget->held() == 120 * kMb);
  CHECK_FALSE(fixture.budget->reserve(memory_holder::live_bodies, memory_budget::kSmallLiveBytes + 1));
  CHECK_FALSE(fixture.budget->reserve(memory_holder::job_bodies, 1));
  CHECK(fixture.budget->reserve(memory_holder::peer_frames, 1'000));
  outbox.set(0);
  CHECK(fixture.budget->reserve(memory_holder::live_bodies, memory_budget::kSmallLiveBytes + 1));
}

// Guards against live requests of a few bytes that are refused because jobs and their records fill the memory.
TEST_CASE("a short live request is taken although the budget is used up") {
  budget_fixture fixture;
  memory_hold outbox(fixture.budget, memory_holder::peer_outboxes);
  outbox.set(120 * kMb);
  CHECK(fixture.budget->reserve(memory_holder::live_bodies, memory_budget::kSmallLiveBytes));
  CHECK(fixture.budget->held_by(memory_holder::live_bodies) == memory_budget::kSmallLiveBytes);
  CHECK_FALSE(fixture.budget->reserve(memory_holder::live_bodies, memory_budget::kSmallLiveBytes + 1));
}

TEST_CASE("without a stated memory nothing is refused, and with very little a node still takes some work") {
  budget_fixture unknown(0);
  CHECK(unknown.budget->reserve(memory_holder::job_bodies, 1'000'000 * kMb));
  CHECK(unknown.budget->reserve(memory_holder::job_bodies, 1'000'000 * kMb));
  budget_fixture little(1);
  CHECK(little.budget->capacity() == memory_budget::kLeastBytes);
  CHECK(little.budget->reserve(memory_holder::live_bodies, 1 * kMb));
  memory_hold none;
  CHECK(none.grow_to(kMb));
}

// Guards against a caller that comes back for good with an object that never fits.
TEST_CASE("an object that is larger than its holder's share of the budget could never be held") {
  budget_fixture fixture;
  memory_budget& budget = *fixture.budget;
  REQUIRE(budget.reserve(memory_holder::job_bodies, 50 * kMb));
  for (const memory_holder holder : {memory_holder::job_bodies, memory_holder::live_bodies}) {
    CHECK(budget.could_hold(holder, 85 * kMb));
    CHECK_FALSE(budget.could_hold(holder, 85 * kMb + 1));
  }
  CHECK(budget.could_hold(memory_holder::peer_frames, 100 * kMb));
  CHECK_FALSE(budget.could_hold(memory_holder::peer_frames, 100 * kMb + 1));
  CHECK(budget_fixture(0).budget->could_hold(memory_holder::job_bodies, 1'000 * kMb));
}

// Guards against a body that is taken piece by piece, each of them small, beyond any limit.
TEST_CASE("pieces of one object count as that object, however small they are") {
  for (const memory_holder holder :
       {memory_holder::job_bodies, memory_holder::live_bodies, memory_holder::peer_frames}) {
    budget_fixture fixture;
    memory_hold hold(fixture.budget, holder);
    std::int64_t size = 0;
    while (size <= kCapacity && hold.grow_to(size + 1'000)) {
      size += 1'000;
    }
    CHECK(size <= kCapacity);
    CHECK(size >= kCapacity / 2);
    CHECK(fixture.budget->held() == size);
  }
}

TEST_CASE("the gauges show what each holder has") {
  budget_fixture fixture;
  memory_hold hold(fixture.budget, memory_holder::backlogs);
  hold.set(7);
  fixture.budget->publish();
  CHECK(fixture.counters["memory_budget_bytes"] == kCapacity);
  CHECK(fixture.counters["memory_held_bytes"] == 7);
  CHECK(fixture.counters["memory_held_backlogs_bytes"] == 7);
  CHECK(fixture.counters["memory_held_job_bodies_bytes"] == 0);
}

TEST_CASE("whatever comes and goes, what is granted stays within the budget and everything is given back") {
  rc::prop("holds that grow, shrink and end", [](const std::vector<std::pair<std::uint8_t, std::uint32_t>>& steps) {
    budget_fixture fixture;
    std::list<memory_hold> holds;
    for (const auto& [choice, amount] : steps) {
      const auto holder = static_cast<memory_holder>(choice % 3);
      const std::int64_t bytes = amount % (40 * kMb);
      if (choice % 5 == 0 && !holds.empty()) {
        holds.pop_front();
      } else if (choice % 5 == 1 && !holds.empty()) {
        const std::int64_t before = holds.back().bytes();
        const bool granted = holds.back().grow_to(bytes);
        RC_ASSERT(holds.back().bytes() == (granted ? std::max(before, bytes) : before));
      } else {
        holds.emplace_back(fixture.budget, holder);
        const bool granted = holds.back().grow_to(bytes);
        RC_ASSERT(holds.back().bytes() == (granted ? bytes : 0));
      }
      std::int64_t sum = 0;
      for (const memory_hold& hold : holds) {
        sum += hold.bytes();
      }
      RC_ASSERT(fixture.budget->held() == sum);
      RC_ASSERT(sum <= kCapacity + static_cast<std::int64_t>(holds.size()) * memory_budget::kSmallFrameBytes);
    }
    holds.clear();
    RC_ASSERT(fixture.budget->held() == 0);
  });
}
