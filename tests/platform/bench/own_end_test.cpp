#include "own_end.hpp"

#include <signal.h>

#include <catch2/catch.hpp>

using namespace madderdeck::users_platform::bench;

TEST_CASE("own end: an end that nothing asked for counts, whatever its exit code") {
  for (const int code : {0, 1, 10, 18, 19, 20, -SIGABRT, -SIGSEGV, -SIGKILL, -SIGTERM, -SIGHUP}) {
    CHECK_FALSE(is_asked_for({}, code));
  }
}

TEST_CASE("own end: a process that was told to stop, or has handed over all it holds, may end with 0 only") {
  CHECK(is_asked_for({.told_to_stop = true}, 0));
  CHECK(is_asked_for({.leaving = true}, 0));
  for (const int code : {1, 10, 18, 19, 20, -SIGABRT, -SIGSEGV, -SIGKILL, -SIGTERM, -SIGHUP}) {
    CHECK_FALSE(is_asked_for({.told_to_stop = true}, code));
    CHECK_FALSE(is_asked_for({.leaving = true}, code));
  }
}

TEST_CASE("own end: before its first line the stop signal itself may end a process, and nothing else") {
  CHECK(is_asked_for({.told_to_stop = true, .has_written = false}, -SIGTERM));
  CHECK_FALSE(is_asked_for({.told_to_stop = false, .has_written = false}, -SIGTERM));
  CHECK_FALSE(is_asked_for({.told_to_stop = true, .has_written = false}, -SIGABRT));
  CHECK_FALSE(is_asked_for({.told_to_stop = true, .has_written = false}, -SIGHUP));
}

TEST_CASE("own end: signals and exit codes that no page lists are told apart") {
  for (const int code : {10, 18, 19, 20}) {
    CHECK(is_listed_exit(code));
  }
  for (const int code : {1, 11, 15, 17, 134, 127, -SIGABRT, -SIGSEGV}) {
    CHECK_FALSE(is_listed_exit(code));
  }
  const std::vector<own_end> ends = {{"a", 18, {}, 0, ""}, {"b", -SIGABRT, {}, 0, ""}, {"a", 127, {}, 0, ""}};
  CHECK(unlisted_ends(ends) == 2);
  CHECK(ends_by_node(ends) == std::map<std::string, std::uint64_t>{{"a", 2}, {"b", 1}});
}

TEST_CASE("own end: its line names node, signal or exit code, age and the last error line") {
  const std::string line =
      format_own_end({"storage-1", -SIGABRT, std::chrono::milliseconds(40), 5, "terminate called"});
  CHECK(line == "storage-1 ended by itself, signal 6 (not listed), after 40 ms, at 5: terminate called");
  CHECK(format_own_end({"frontend-2", 18, std::chrono::milliseconds(7), 6, "in use"}) ==
        "frontend-2 ended by itself, exit code 18, after 7 ms, at 6: in use");
}

TEST_CASE("own end: the last line about an error is found among later ones, without a line end, and in long lines") {
  const std::string error = R"({"level":"error","event":"a"})";
  CHECK(last_error_line(error + "\n{\"level\":\"info\"}\n") == error);
  CHECK(last_error_line("madderdeckd: address_in_use: x\n" + error) == error);
  CHECK(last_error_line("one\n\ntwo\n\n") == "two");
  CHECK(last_error_line("terminate called without an active exception\nlast") ==
        "terminate called without an active exception");
  CHECK(last_error_line("").empty());
  CHECK(last_error_line(std::string(5'000, 'x')).size() == 400);
}
