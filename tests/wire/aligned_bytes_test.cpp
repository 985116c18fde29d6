#include "wire/aligned_bytes.hpp"

#include <catch2/catch.hpp>

#include "support/shifted_bytes.hpp"
#include "wire/codec.hpp"

using namespace madderdeck;
using madderdeck::tests::shifted_bytes;

namespace {

bool is_aligned(const void* address) {
  return reinterpret_cast<std::uintptr_t>(address) % wire::aligned_bytes::kAlignment == 0;
}

wire::Bytes encoded_promise() {
  wire::PromiseStateT state;
  state.ballot = std::make_unique<wire::Ballot>(7, 9);
  return wire::encode_record(state);
}

wire::Bytes encoded_frame() {
  wire::AcceptT accept;
  accept.key = "k";
  accept.value = {1, 2, 3};
  accept.ballot = std::make_unique<wire::Ballot>(7, 9);
  wire::MessageUnion body;
  body.Set(std::move(accept));
  return wire::encode_frame(PeerAddress("10.0.0.1:1"), {body});
}

}  // namespace

TEST_CASE("fields of encoded bytes are read from aligned addresses, wherever the bytes start") {
  const wire::Bytes encoded = encoded_promise();
  for (std::size_t offset = 0; offset < 2 * wire::aligned_bytes::kAlignment; ++offset) {
    CAPTURE(offset);
    const shifted_bytes shifted(encoded, offset);
    const wire::aligned_bytes aligned(shifted.view());
    CHECK(is_aligned(aligned.data()));
    const auto* state = wire::verified_root<wire::PromiseState>(aligned);
    REQUIRE(state != nullptr);
    REQUIRE(state->ballot() != nullptr);
    CHECK(is_aligned(state->ballot()));
    CHECK(state->ballot()->counter() == 7);
    CHECK(state->ballot()->proposer() == 9);
  }
}

TEST_CASE("aligned bytes are not copied") {
  const shifted_bytes aligned_already(encoded_promise(), 0);
  const wire::aligned_bytes aligned(aligned_already.view());
  CHECK(static_cast<const void*>(aligned.data()) == static_cast<const void*>(aligned_already.view().data()));
}

// The reads themselves are wrong in a build with the sanitizer for undefined behaviour only.
TEST_CASE("frames and records are decoded wherever their bytes start") {
  const wire::Bytes frame = encoded_frame();
  const wire::Bytes promise = encoded_promise();
  for (std::size_t offset = 0; offset < 2 * wire::aligned_bytes::kAlignment; ++offset) {
    CAPTURE(offset);
    const shifted_bytes shifted_frame(frame, offset);
    const auto decoded = wire::decode_frame(shifted_frame.view());
    REQUIRE(succeeded(decoded));
    REQUIRE(value_of(decoded).size() == 1);
    REQUIRE(value_of(decoded)[0].body.AsAccept() != nullptr);
    CHECK(value_of(decoded)[0].body.AsAccept()->ballot->proposer() == 9);
    const shifted_bytes shifted_promise(promise, offset);
    const auto record = wire::decode_record<wire::PromiseStateT>(shifted_promise.view());
    REQUIRE(record.has_value());
    CHECK(record->ballot->counter() == 7);
  }
}

TEST_CASE("bytes too short for any table are refused wherever they start") {
  const wire::Bytes encoded = encoded_promise();
  for (std::size_t size = 0; size < sizeof(flatbuffers::uoffset_t); ++size) {
    for (std::size_t offset = 0; offset < wire::aligned_bytes::kAlignment; ++offset) {
      CAPTURE(size, offset);
      const shifted_bytes shifted(encoded, offset);
      const wire::aligned_bytes aligned(shifted.view().substr(0, size));
      CHECK(wire::verified_root<wire::PromiseState>(aligned) == nullptr);
    }
  }
}
