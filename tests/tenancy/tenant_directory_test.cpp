#include "tenancy/tenant_directory.hpp"

#include <catch2/catch.hpp>
#include <chrono>

using namespace madderdeck;
using namespace madderdeck::tenancy;

namespace {

tenant with_keys(const std::string& name, std::vector<std::string> keys) { return {name, std::move(keys), 0, {}}; }

ErrorKind build_failure(std::vector<tenant> tenants) {
  const auto built = tenant_directory::build(std::move(tenants));
  REQUIRE_FALSE(succeeded(built));
  return error_of(built).kind;
}

std::vector<tenant> many(std::size_t tenants, std::size_t keys) {
  std::vector<tenant> all;
  for (std::size_t number = 0; number < tenants; ++number) {
    tenant one = with_keys("t" + std::to_string(number), {});
    for (std::size_t key = 0; key < keys; ++key) {
      one.keys.push_back("key-" + std::to_string(number) + "-" + std::to_string(key));
    }
    all.push_back(std::move(one));
  }
  return all;
}

}  // namespace

TEST_CASE("each key is found with its tenant, and no other text is found") {
  const auto built = tenant_directory::build({with_keys("a", {"k1", "k2"}), with_keys("b", {"k3"})});
  REQUIRE(succeeded(built));
  const tenant_directory& directory = value_of(built);
  CHECK(directory.find_by_key("k2")->name == "a");
  CHECK(directory.find_by_key("k3")->name == "b");
  for (const char* other : {"", "k", "K1", "k1 ", "a"}) {
    CHECK(directory.find_by_key(other) == nullptr);
  }
  CHECK(directory.find("b") != nullptr);
  CHECK(tenant_directory().find_by_key("k1") == nullptr);
}

TEST_CASE("invalid or conflicting tenants give a typed error that shows no key") {
  const auto shared = tenant_directory::build({with_keys("a", {"secret-key"}), with_keys("b", {"secret-key"})});
  REQUIRE_FALSE(succeeded(shared));
  CHECK(error_of(shared).kind == ErrorKind::invalid_argument);
  CHECK(error_of(shared).detail.find("secret-key") == std::string::npos);
  CHECK(error_of(shared).detail.find(key_fingerprint("secret-key")) != std::string::npos);
  CHECK(build_failure({with_keys("a", {}), with_keys("a", {})}) == ErrorKind::invalid_argument);
  CHECK(build_failure({with_keys("", {"k"})}) == ErrorKind::invalid_argument);
  CHECK(build_failure({with_keys("a", {""})}) == ErrorKind::invalid_argument);
  CHECK(build_failure({with_keys("a", {std::string(64 * 1024, 'k')})}) == ErrorKind::invalid_argument);
  tenant negative = with_keys("a", {"k"});
  negative.rate.per_second = -1;
  CHECK(build_failure({negative}) == ErrorKind::invalid_argument);
  CHECK(succeeded(tenant_directory::build({with_keys("a", {"k", "k"})})));
}

TEST_CASE("ten thousand tenants with a hundred keys each are accepted, and their keys are found") {
  const auto built = tenant_directory::build(many(10'000, 100));
  REQUIRE(succeeded(built));
  CHECK(value_of(built).find_by_key("key-9999-99")->name == "t9999");
  CHECK(value_of(built).find_by_key("key-10000-0") == nullptr);
}
