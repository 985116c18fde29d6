#include "tenancy/authentication.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::tenancy;

namespace {

tenant_directory one_tenant() { return value_of(tenant_directory::build({tenant{"clinic", {"key"}, 2, {}}})); }

credentials shows(const char* key, bool public_route = false) { return {std::string_view(key), false, public_route}; }

const key_trust kTrustForever;

}  // namespace

TEST_CASE("a known key is admitted as its tenant, and an unknown key is rejected, also on public routes") {
  const tenant_directory directory = one_tenant();
  const identity known = authenticate(directory, shows("key"), kTrustForever, 0ms);
  CHECK(known.outcome == verdict::allowed);
  REQUIRE(known.who != nullptr);
  CHECK(known.who->name == "clinic");
  CHECK(authenticate(directory, shows("other"), kTrustForever, 0ms).outcome == verdict::unknown_key);
  CHECK(authenticate(directory, shows("other", true), kTrustForever, 0ms).outcome == verdict::unknown_key);
  CHECK(authenticate(directory, shows(""), kTrustForever, 0ms).outcome == verdict::unknown_key);
}

TEST_CASE("without a key only public routes are open") {
  const tenant_directory directory = one_tenant();
  CHECK(authenticate(directory, {}, kTrustForever, 0ms).outcome == verdict::unknown_key);
  const identity anybody = authenticate(directory, {std::nullopt, false, true}, kTrustForever, 0ms);
  CHECK(anybody.outcome == verdict::allowed);
  CHECK(anybody.who == nullptr);
}

TEST_CASE("a request with several different keys is rejected") {
  CHECK(authenticate(one_tenant(), {std::nullopt, true, true}, kTrustForever, 0ms).outcome == verdict::unknown_key);
}

TEST_CASE("a fleet without tenants requires no key") {
  CHECK(authenticate(tenant_directory(), {}, kTrustForever, 0ms).outcome == verdict::allowed);
  CHECK(authenticate(tenant_directory(), shows("any"), kTrustForever, 0ms).outcome == verdict::allowed);
}

TEST_CASE("whether the keys of an old configuration are accepted depends on the settings") {
  const tenant_directory directory = one_tenant();
  const key_trust open{5s, false};
  const key_trust closed{5s, true};
  CHECK(authenticate(directory, shows("key"), open, 1h).outcome == verdict::allowed);
  CHECK(authenticate(directory, shows("key"), closed, 5s).outcome == verdict::allowed);
  CHECK(authenticate(directory, shows("key"), closed, 5001ms).outcome == verdict::keys_too_old);
  CHECK(authenticate(directory, shows("other"), closed, 1h).outcome == verdict::unknown_key);
  CHECK(authenticate(directory, {std::nullopt, false, true}, closed, 1h).outcome == verdict::allowed);
}
