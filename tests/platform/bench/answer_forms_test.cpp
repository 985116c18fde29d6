#include "answer_forms.hpp"

#include <catch2/catch.hpp>

#include <set>

#include "stand_ins.hpp"

using namespace madderdeck::users_platform::bench;
using madderdeck::net::body_framing;

namespace {
const std::vector<std::string> kEvents = event_texts("r1", 1, 3);
}  // namespace

TEST_CASE("answers come in chunks and whole where none is to be broken off") {
  answer_forms forms(7, 0);
  for (int answer = 0; answer < 100; ++answer) {
    const answer_form form = forms.draw(kEvents, true);
    CHECK(form.framing == body_framing::chunks);
    CHECK(form.ending == answer_ending::well);
  }
}

TEST_CASE("forms are drawn by their seed, in every framing and with every ending") {
  answer_forms first(7, 50);
  answer_forms again(7, 50);
  std::set<std::pair<body_framing, answer_ending>> seen;
  for (int answer = 0; answer < 500; ++answer) {
    const answer_form form = first.draw(kEvents, true);
    const answer_form same = again.draw(kEvents, true);
    CHECK(form.cut == same.cut);
    CHECK(form.framing == same.framing);
    seen.insert({form.framing, form.ending});
  }
  CHECK(seen.size() == 12);
}

TEST_CASE("an answer that cannot be told from a whole one is drawn only where it may be") {
  for (const bool may : {false, true}) {
    answer_forms forms(7, 100);
    int found = 0;
    for (int answer = 0; answer < 2'000; ++answer) {
      found += looks_whole(forms.draw(kEvents, may), kEvents) ? 1 : 0;
    }
    CHECK((found > 0) == may);
  }
  const std::size_t event = kEvents.front().size();
  CHECK(looks_whole({body_framing::until_close, answer_ending::closed, event}, kEvents));
  CHECK_FALSE(looks_whole({body_framing::until_close, answer_ending::closed, event - 1}, kEvents));
  CHECK_FALSE(looks_whole({body_framing::until_close, answer_ending::closed, 0}, kEvents));
  CHECK_FALSE(looks_whole({body_framing::until_close, answer_ending::reset, event}, kEvents));
  CHECK_FALSE(looks_whole({body_framing::chunks, answer_ending::closed, event}, kEvents));
}

TEST_CASE("an engine's line on an answer that did not end well") {
  const ended_answer one{"r1", "until_close", "closed", 42, true};
  CHECK(parse_ended_answer(format_ended_answer(one)) == one);
  CHECK_FALSE(parse_ended_answer("{\"event\":\"late_request\"}"));
  CHECK_FALSE(parse_ended_answer("no JSON"));
}

TEST_CASE("a short answer that looks complete is excused only by its engine's own line") {
  const std::vector<short_answer> all = {{"r1", "g", 10}, {"r2", "g", 10}, {"r3", "g", 10}};
  const auto found =
      falsely_complete(all, {{"r1", "until_close", "closed", 10, true}, {"r2", "until_close", "closed", 10, false}});
  REQUIRE(found.size() == 2);
  CHECK(found[0].request == "r2");
  CHECK(found[1].request == "r3");
}
