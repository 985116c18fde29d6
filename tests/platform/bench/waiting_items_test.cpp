#include "waiting_items.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck::users_platform::bench;

TEST_CASE("an item that no engine runs for over 3 s although engines have room is overdue") {
  waiting_items items;
  items.look({0, {"a", "b"}, {"b"}, true});
  items.look({2.9, {"a", "b"}, {"b"}, true});
  CHECK(items.overdue().empty());
  items.look({3.1, {"a", "b"}, {"b"}, true});
  CHECK(items.overdue() == std::set<std::string>{"a"});
}

TEST_CASE("an item that runs, is finished or has no room in between waits anew") {
  waiting_items items;
  items.look({0, {"a", "b", "c"}, {}, true});
  items.look({2, {"a", "b"}, {"a"}, true});
  items.look({3, {"a", "b"}, {}, false});
  items.look({4, {"a", "b", "c"}, {}, true});
  items.look({6.9, {"a", "b", "c"}, {}, true});
  CHECK(items.overdue().empty());
  CHECK(items.longest_s() > 2.8);
  CHECK(items.longest_s() < 3);
}
