#include "simulation/loss_rule.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::simulation;

namespace {

constexpr Duration kCatchUpTime = 4700ms;

/// Three machines with a disk, all back since the start.
class three_machines {
 public:
  three_machines() : rule(1, kCatchUpTime) { see_at(0ms); }

  /// All are seen; those that are away are in @p away.
  void see_at(Timestamp now, const std::set<unsigned>& away = {}) {
    for (unsigned machine = 0; machine < 3; ++machine) {
      rule.observe(machine, !away.contains(machine), Timestamp{}, now);
    }
    rule.expire(now);
  }

  LossRule rule;
};

}  // namespace

TEST_CASE("no second disk may be lost until all machines have been back for the time to catch up") {
  three_machines site;
  CHECK(site.rule.may_lose(1));
  site.rule.disk_lost(0, 10s);
  CHECK_FALSE(site.rule.may_lose(1));
  CHECK(site.rule.may_lose(0));  // the same disk again is no further loss
  site.see_at(10s + kCatchUpTime - 1ms);
  CHECK_FALSE(site.rule.may_lose(1));
  site.see_at(10s + kCatchUpTime);
  CHECK(site.rule.may_lose(1));
}

TEST_CASE("a lost disk counts while another machine is away, and until that one has caught up as well") {
  three_machines site;
  site.see_at(9s, {2});
  site.rule.disk_lost(0, 10s);
  site.see_at(30s, {2});
  CHECK_FALSE(site.rule.may_lose(1));
  site.see_at(30s + kCatchUpTime - 1ms);
  CHECK_FALSE(site.rule.may_lose(1));
  SECTION("it stays") {
    site.see_at(30s + kCatchUpTime);
    CHECK(site.rule.may_lose(1));
  }
  SECTION("it goes away again too early") {
    site.see_at(30s + kCatchUpTime, {2});
    site.see_at(60s, {2});
    CHECK_FALSE(site.rule.may_lose(1));
  }
}

TEST_CASE("a machine that was taken away counts until its successor has caught up") {
  three_machines site;
  site.rule.machine_removed(0);
  constexpr unsigned kSuccessor = 3;
  site.rule.observe(kSuccessor, false, Timestamp{}, 10s);
  site.rule.expire(20s);
  CHECK_FALSE(site.rule.may_lose(1));
  site.rule.observe(kSuccessor, true, 21s, 21s);
  site.rule.expire(21s + kCatchUpTime - 1ms);
  CHECK_FALSE(site.rule.may_lose(1));
  site.rule.expire(21s + kCatchUpTime);
  CHECK(site.rule.may_lose(1));
}

// Two losses that a deaf machine lies between: the rule allows the second one, however little was copied meanwhile.
TEST_CASE("a machine that was deaf may be lost once all have been back for the time to catch up") {
  three_machines site;
  constexpr unsigned kDeaf = 2;
  site.see_at(90'698ms, {kDeaf});
  site.rule.machine_removed(0);
  site.see_at(95'559ms, {0, kDeaf});
  site.see_at(99'184ms, {kDeaf});
  site.see_at(99'184ms + kCatchUpTime - 1ms);
  CHECK_FALSE(site.rule.may_lose(kDeaf));
  site.see_at(99'184ms + kCatchUpTime);
  site.see_at(104'044ms, {kDeaf});
  CHECK(site.rule.may_lose(kDeaf));
  CHECK(site.rule.may_lose(1));
}
