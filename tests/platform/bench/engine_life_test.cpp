#include "engine_life.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::users_platform::bench;

TEST_CASE("a request is late once the store has taken the leaving for longer than the notice") {
  engine_life life("i-1", 7);
  CHECK_FALSE(life.lateness(100s, 3s));
  life.begin_leaving(leave_form::announced);
  CHECK_FALSE(life.lateness(100s, 3s));  // told, but not taken
  life.leaving_taken(10s);
  life.leaving_taken(12s);  // told again with a later heartbeat
  CHECK_FALSE(life.lateness(13s, 3s));
  CHECK(life.lateness(13'500ms, 3s) == Duration(500ms));
}

TEST_CASE("an engine's entry tells how it leaves, and each form has a name") {
  engine_life announced("i-1", 7);
  CHECK(std::string(announced.entry_state()) == "ready");
  announced.begin_leaving(leave_form::announced);
  announced.begin_leaving(leave_form::unannounced);
  CHECK(announced.form() == leave_form::announced);
  CHECK(std::string(announced.entry_state()) == "draining");
  CHECK(announced.writes_entry());
  announced.end();
  CHECK_FALSE(announced.writes_entry());
  engine_life silent("i-2", 7);
  silent.begin_leaving(leave_form::unannounced);
  CHECK_FALSE(silent.writes_entry());
  for (const leave_form form :
       {leave_form::announced, leave_form::unannounced, leave_form::crashed, leave_form::reborn}) {
    CHECK(parse_leave_form(leave_form_name(form)) == form);
  }
  CHECK_FALSE(parse_leave_form("asleep"));
}
