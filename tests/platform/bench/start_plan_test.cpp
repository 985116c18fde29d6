#include "start_plan.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace std::chrono_literals;
using namespace madderdeck::users_platform::bench;

namespace {

constexpr double kLength_s = 20;
constexpr std::uint64_t kSeeds = 200;

bool is_of_starts(fault_kind kind) {
  return std::set<fault_kind>{fault_kind::start_beside_old, fault_kind::roll_overlapping, fault_kind::take_address,
                              fault_kind::spoil_settings, fault_kind::hang_up_spoiled}
      .contains(kind);
}

bool in_order(const std::vector<fault>& plan) {
  return std::is_sorted(plan.begin(), plan.end(),
                        [](const fault& left, const fault& right) { return left.at_s < right.at_s; });
}

}  // namespace

TEST_CASE("starts: a plan comes from its seed, in order, within the run") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const std::vector<fault> plan = draw_faults(seed, kLength_s, fault_mix::starts);
    CHECK(plan == draw_faults(seed, kLength_s, fault_mix::starts));
    CHECK(plan != draw_faults(seed + 1, kLength_s, fault_mix::starts));
    CHECK(in_order(plan));
    CHECK(plan.front().at_s >= 2);
    CHECK(plan.back().at_s <= kLength_s - 3);
  }
}

TEST_CASE("starts: addresses are taken for up to 5 s, settings spoiled and old processes beside for up to 2 s") {
  std::set<fault_kind> drawn;
  std::chrono::milliseconds longest_taken{0};
  unsigned at_once = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const std::vector<fault> plan = draw_faults(seed, kLength_s, fault_mix::starts);
    for (std::size_t number = 0; number < plan.size(); ++number) {
      const fault& event = plan[number];
      drawn.insert(event.kind);
      at_once += number > 0 && event.at_s == plan[number - 1].at_s ? 1 : 0;
      CHECK(event.length > 0ms);
      CHECK(event.length <= 5s);
      if (event.kind == fault_kind::take_address) {
        longest_taken = std::max(longest_taken, event.length);
      } else if (is_of_starts(event.kind)) {
        CHECK(event.length <= 2s);
      }
    }
  }
  CHECK(longest_taken > 4s);
  CHECK(at_once > kSeeds);
  CHECK(std::count_if(drawn.begin(), drawn.end(), is_of_starts) == 5);
  for (const fault_kind beside : {fault_kind::kill_gateways, fault_kind::kill_ledgers, fault_kind::freeze_gateways,
                                  fault_kind::freeze_ledgers, fault_kind::reload, fault_kind::store_silent}) {
    CHECK(drawn.contains(beside));
  }
}

TEST_CASE("starts: beside another mix, all of its faults stay, in order") {
  for (const fault_mix mix : {fault_mix::mixed, fault_mix::losses, fault_mix::rolling, fault_mix::none}) {
    const std::vector<fault> alone = draw_faults(7, kLength_s, mix);
    const std::vector<fault> both = draw_starts_beside(7, kLength_s, mix);
    CHECK(in_order(both));
    std::vector<fault> left = both;
    for (const fault& event : alone) {
      const auto place = std::find(left.begin(), left.end(), event);
      REQUIRE(place != left.end());
      left.erase(place);
    }
    CHECK(std::any_of(left.begin(), left.end(), [](const fault& event) { return is_of_starts(event.kind); }));
  }
}

TEST_CASE("starts: the first start of a fleet meets what keeps nodes from starting, all at once, by its seed") {
  std::set<fault_kind> drawn;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const std::vector<fault> plan = draw_first_starts(seed);
    CHECK(plan == draw_first_starts(seed));
    REQUIRE(plan.size() >= 2);
    for (const fault& event : plan) {
      CHECK(event.at_s == 0);
      CHECK(event.length > 0ms);
      CHECK(is_of_starts(event.kind));
      drawn.insert(event.kind);
    }
  }
  CHECK(drawn.size() == 3);
}
