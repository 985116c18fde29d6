#include "settings_form.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace madderdeck::users_platform::bench;

TEST_CASE("settings form: a cut leaves a true beginning of any length, never all or nothing") {
  const std::string whole = "0123456789";
  std::set<std::size_t> lengths;
  for (std::uint64_t choice = 0; choice < 100; ++choice) {
    const auto left = settings_in(settings_form::cut, whole, choice);
    REQUIRE(left);
    CHECK(whole.starts_with(*left));
    lengths.insert(left->size());
  }
  CHECK(lengths == std::set<std::size_t>{1, 2, 3, 4, 5, 6, 7, 8, 9});
}

TEST_CASE("settings form: missing is no file, empty an empty one, whole all of it") {
  CHECK_FALSE(settings_in(settings_form::missing, "ab", 7));
  CHECK(settings_in(settings_form::empty, "ab", 7) == "");
  CHECK(settings_in(settings_form::whole, "ab", 7) == "ab");
}

TEST_CASE("settings form: every form but whole is picked") {
  std::set<settings_form> picked;
  for (std::uint64_t choice = 0; choice < 8; ++choice) {
    picked.insert(settings_form_of(choice));
  }
  CHECK(picked == std::set<settings_form>{settings_form::missing, settings_form::empty, settings_form::cut});
}
