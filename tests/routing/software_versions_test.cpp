#include "routing/software_versions.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::routing;

TEST_CASE("a version is the only one of a pool once the others have been gone for long enough") {
  software_versions versions;
  versions.add("p", "v1", 10s);
  CHECK_FALSE(versions.sole_since("p", 5s));  // the pool is not known for that long
  CHECK(versions.sole_since("p", 10s) == "v1");
  versions.add("p", "v2", 20s);
  CHECK_FALSE(versions.sole_since("p", 10s));
  versions.remove("p", "v1", 30s);
  CHECK_FALSE(versions.sole_since("p", 30s));
  CHECK(versions.sole_since("p", 30s + 1us) == "v2");
  CHECK_FALSE(versions.sole_since("q", 0s));
}

TEST_CASE("a back end that states no version leaves the versions of its pool uncertain") {
  software_versions versions;
  versions.add("p", "", 10s);
  CHECK_FALSE(versions.sole_since("p", 10s));
  versions.add("p", "v1", 10s);
  CHECK(versions.since("p", 10s).size() == 2);
  versions.remove("p", "", 12s);
  CHECK(versions.sole_since("p", 13s) == "v1");
}

TEST_CASE("a version whose back end is listed anew has not gone, and one that has gone is forgotten after kMemory") {
  software_versions versions;
  versions.add("p", "v1", 0s);
  versions.add("p", "v2", 0s);
  versions.remove("p", "v2", 1s);
  versions.add("p", "v2", 1s);
  CHECK(versions.since("p", 100s).size() == 2);
  versions.remove("p", "v2", 2s);
  const Timestamp later = 3s + software_versions::kMemory;
  versions.add("p", "v1", later);
  CHECK(versions.since("p", 0s).size() == 1);
}
