/// Judging of returns: each kind of request by itself, by first tries.
#include "return_judge.hpp"

#include <catch2/catch.hpp>

#include "return_plan.hpp"

using namespace madderdeck::users_platform::bench;

namespace {

/// Calm for 4 s; the last cause is gone at 10 s; judged until 18 s.
constexpr return_times kTimes{0, 4, 10, 18, 1};

/// Tries at @p per_second from @p from_s to @p until_s.
void add(return_judge& judge, const std::string& kind, double from_s, double until_s, double per_second, bool served) {
  const auto count = static_cast<int>((until_s - from_s) * per_second);
  for (int number = 0; number < count; ++number) {
    judge.note(kind, from_s + (number + 0.5) / per_second, served);
  }
}

return_outcome outcome_of(const return_judge& judge, const std::string& kind) {
  const auto outcomes = judge.judge(kTimes);
  REQUIRE(outcomes.contains(kind));
  return outcomes.at(kind);
}

}  // namespace

TEST_CASE("a return is in time if the second after its bound is served as before") {
  return_judge judge;
  add(judge, "stream", 0, 4, 40, true);
  add(judge, "stream", 4, 11, 40, false);
  add(judge, "stream", 11, 18, 40, true);
  const return_outcome outcome = outcome_of(judge, "stream");
  CHECK_FALSE(outcome.late);
  CHECK_FALSE(outcome.relapsed);
  CHECK(outcome.back_after_s == 1);
  CHECK(outcome.served_after == 1);
  REQUIRE(outcome.shares_by_second.size() == 8);
  CHECK(outcome.shares_by_second.at(0) == 0);
}

TEST_CASE("a return that is a second late, comes never, or does not last is noticed") {
  for (const double served_from_s : {12.0, 18.0}) {
    return_judge judge;
    add(judge, "stream", 0, 4, 40, true);
    add(judge, "stream", 10, served_from_s, 40, false);
    add(judge, "stream", served_from_s, 18, 40, true);
    CHECK(outcome_of(judge, "stream").late);
  }
  return_judge judge;
  add(judge, "stream", 0, 4, 40, true);
  add(judge, "stream", 10, 14, 40, true);
  add(judge, "stream", 14, 16, 40, false);
  add(judge, "stream", 16, 18, 40, true);
  CHECK_FALSE(outcome_of(judge, "stream").late);
  CHECK(outcome_of(judge, "stream").relapsed);
}

TEST_CASE("a rare kind of request that is not served is noticed beside a frequent one that is") {
  return_judge judge;
  add(judge, "stream", 0, 4, 40, true);
  add(judge, "stream", 10, 18, 40, true);
  add(judge, "job accepted", 0, 4, 2, true);
  add(judge, "job accepted", 10, 18, 2, false);
  add(judge, "too rare", 0, 4, 0.5, true);
  CHECK_FALSE(outcome_of(judge, "stream").late);
  CHECK(outcome_of(judge, "job accepted").late);
  CHECK(judge.judge(kTimes).size() == 2);
}

TEST_CASE("a return is drawn alike from the same seed, and every form and cause comes up") {
  std::set<end_form> forms;
  std::set<return_cause> causes;
  std::set<store_absence> absences;
  std::set<std::optional<std::chrono::milliseconds>> store_away_times;
  unsigned second_ends = 0;
  unsigned pairs = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    const return_plan plan = draw_return(seed, 7, 3);
    CHECK(describe_return(plan) == describe_return(draw_return(seed, 7, 3)));
    CHECK(plan.starts.size() == 10);
    CHECK(plan.causes.size() <= 2);
    for (const auto start : plan.starts) {
      CHECK(start <= std::chrono::milliseconds(300));
    }
    CHECK((!plan.stays_away || *plan.stays_away < 7));
    forms.insert(plan.form);
    causes.insert(plan.causes.begin(), plan.causes.end());
    absences.insert(plan.absence);
    store_away_times.insert(plan.store_away);
    second_ends += plan.second_end ? 1 : 0;
    pairs += plan.causes.size() == 2 ? 1 : 0;
  }
  CHECK(forms.size() == 3);
  CHECK(causes.size() == 9);
  CHECK(absences.size() == 3);
  CHECK(store_away_times.size() == kStoreAwayTimes.size() + 1);
  CHECK(second_ends > 20);
  CHECK(pairs > 20);
  const return_plan only = draw_return(1, 7, 3, return_cause::store_busy);
  CHECK(only.causes == std::set<return_cause>{return_cause::store_busy});
  for (const return_cause cause : causes) {
    CHECK(return_cause_of(return_cause_name(cause)) == cause);
  }
  CHECK_FALSE(return_cause_of("none"));
}
