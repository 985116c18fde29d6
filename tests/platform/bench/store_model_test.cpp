#include "store_model.hpp"

#include <catch2/catch.hpp>

#include "support/test_environment.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform::bench;

namespace {
boost::json::object spec(int value) { return boost::json::object{{"value", value}}; }
}  // namespace

TEST_CASE("the store's stand-in writes only where the revision is the one expected") {
  tests::TestEnvironment environment;
  store_model store(environment);
  CHECK(store.create("kind", "name", spec(1)).status == 201);
  CHECK(store.create("kind", "name", spec(2)).status == 409);
  const std::uint64_t revision = store.revision();
  CHECK(store.replace("kind", "name", revision + 1, spec(2)).status == 409);
  CHECK(store.replace("kind", "name", revision, spec(2)).status == 200);
  CHECK(store.revision() == revision + 1);
  CHECK(store.replace("kind", "name", revision + 1, spec(2)).status == 200);
  CHECK(store.revision() == revision + 1);  // nothing has changed
  CHECK(store.replace("kind", "other", std::nullopt, spec(2)).status == 404);
  CHECK(store.set_status("kind", "name", spec(3)).status == 200);
  CHECK(store.get("kind", "name").body.at("status").as_object() == spec(3));
  CHECK(store.remove("kind", "name", revision).status == 409);
  CHECK(store.remove("kind", "name", std::nullopt).status == 200);
  CHECK(store.get("kind", "name").status == 404);
}

TEST_CASE("a watch of the store's stand-in answers with the first change, or empty after its wait") {
  tests::TestEnvironment environment;
  store_model store(environment);
  std::vector<store_answer> answers;
  const auto take = [&](const store_answer& answer) { answers.push_back(answer); };
  store.watch("kind", store.revision(), 1s, take);
  store.create("other", "name", spec(1));
  CHECK(answers.empty());
  store.create("kind", "name", spec(1));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].body.at("events").as_array().size() == 1);
  store.watch("kind", store.revision(), 1s, take);
  environment.world.run_for(2s);
  REQUIRE(answers.size() == 2);
  CHECK(answers[1].body.at("events").as_array().empty());
  store.forget_history();
  store.watch("kind", 1, 1s, take);
  REQUIRE(answers.size() == 3);
  CHECK(answers[2].status == 410);
}
