#include "ledger/accepted_value.hpp"

#include <catch2/catch.hpp>

#include "support/shifted_bytes.hpp"

using namespace madderdeck;
using namespace madderdeck::ledger;
using madderdeck::tests::shifted_bytes;

TEST_CASE("an accepted value is viewed in the stored bytes themselves, wherever these start") {
  const wire::Bytes value = {4, 5, 6, 7, 8};
  const wire::Bytes stored = encode_accept({7, 9}, value);
  for (std::size_t offset = 0; offset < 2 * wire::aligned_bytes::kAlignment; ++offset) {
    CAPTURE(offset);
    const shifted_bytes shifted(stored, offset);
    const auto accepted = view_accept(shifted.view());
    REQUIRE(accepted.has_value());
    CHECK(accepted->ballot == Ballot{7, 9});
    CHECK(wire::Bytes(accepted->value.begin(), accepted->value.end()) == value);
    const char* const first = shifted.view().data();
    CHECK(accepted->value.data() >= first);
    CHECK(accepted->value.data() + accepted->value.size() <= first + shifted.view().size());
  }
}

TEST_CASE("a damaged accepted value is refused wherever its bytes start") {
  wire::Bytes stored = encode_accept({7, 9}, {4, 5, 6, 7, 8});
  const auto byte = std::find(stored.begin(), stored.end(), 6);
  REQUIRE(byte != stored.end());
  *byte = 60;
  for (std::size_t offset = 0; offset < wire::aligned_bytes::kAlignment; ++offset) {
    CAPTURE(offset);
    CHECK_FALSE(view_accept(shifted_bytes(stored, offset).view()).has_value());
  }
}
