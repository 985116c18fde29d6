#include "routing/request_fingerprint.hpp"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using namespace madderdeck::routing;

TEST_CASE("equal requests have equal fingerprints, on every node and in every version") {
  const request_parts parts{"tenant", "POST", "/a/b?c=d", "body"};
  CHECK(fingerprint_of(parts) == fingerprint_of(parts));
  // Nodes of two versions serve side by side during an upgrade.
  CHECK(fingerprint_of(parts).str() == "448b305da0e5fa916d12d7eb672e8430");
}

TEST_CASE("requests that differ in one part differ") {
  const request_fingerprint one = fingerprint_of({"tenant", "POST", "/path", "body"});
  CHECK(one != fingerprint_of({"other", "POST", "/path", "body"}));
  CHECK(one != fingerprint_of({"tenant", "PUT", "/path", "body"}));
  CHECK(one != fingerprint_of({"tenant", "POST", "/path?", "body"}));
  CHECK(one != fingerprint_of({"tenant", "POST", "/path", "body "}));
  CHECK(fingerprint_of({"", "", "", ""}) != fingerprint_of({"", "", "", "a"}));
}

TEST_CASE("bytes that move from one part to the next make another request") {
  rc::prop("a cut elsewhere in the same bytes", [](const std::string& left, const std::string& right) {
    RC_PRE(!right.empty());
    const std::string longer = left + right.substr(0, 1);
    const std::string shorter = right.substr(1);
    RC_ASSERT(fingerprint_of({"t", "POST", left, right}) != fingerprint_of({"t", "POST", longer, shorter}));
  });
}
