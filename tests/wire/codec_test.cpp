#include "wire/codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace madderdeck;

namespace {
wire::MessageUnion accept_message(const std::string& key, const std::vector<std::uint8_t>& value) {
  wire::AcceptT accept;
  accept.key = key;
  accept.value = value;
  accept.ballot = std::make_unique<wire::Ballot>(7, 9);
  wire::MessageUnion body;
  body.Set(std::move(accept));
  return body;
}
}  // namespace

TEST_CASE("a frame comes back as it was encoded") {
  rc::prop("round trip", [](const std::string& key, const std::vector<std::uint8_t>& value) {
    const auto frame = wire::encode_frame(PeerAddress("10.0.0.1:1"), {accept_message(key, value)});
    const auto decoded =
        wire::decode_frame(std::string_view(reinterpret_cast<const char*>(frame.data()), frame.size()));
    RC_ASSERT(succeeded(decoded));
    RC_ASSERT(value_of(decoded).size() == 1U);
    RC_ASSERT(value_of(decoded)[0].sender == PeerAddress("10.0.0.1:1"));
    const wire::AcceptT* accept = value_of(decoded)[0].body.AsAccept();
    RC_ASSERT(accept != nullptr);
    RC_ASSERT(accept->key == key);
    RC_ASSERT(accept->value == value);
    RC_ASSERT(accept->ballot->counter() == 7U);
  });
}

TEST_CASE("damaged frames are refused or decoded, never worse") {
  rc::prop("any bytes", [](const std::string& bytes) { wire::decode_frame(bytes); });
  rc::prop("flipped and cut frames", [](std::uint16_t position, std::uint8_t mask, std::uint16_t cut) {
    const auto frame = wire::encode_frame(PeerAddress("10.0.0.1:1"), {accept_message("some/key", {1, 2, 3})});
    std::string damaged(frame.begin(), frame.end());
    damaged[position % damaged.size()] = static_cast<char>(damaged[position % damaged.size()] ^ mask);
    damaged.resize(damaged.size() - cut % damaged.size());
    wire::decode_frame(damaged);
  });
  REQUIRE(error_of(wire::decode_frame("")).kind == ErrorKind::corrupted);
}

TEST_CASE("a damaged record is not decoded") {
  REQUIRE_FALSE(wire::decode_record<wire::JobRecordT>(std::string("nonsense")).has_value());
}

// While two versions run side by side, the later one sends kinds of messages that the earlier one does not know.
TEST_CASE("a message of an unknown kind does not take the others of its frame along") {
  flatbuffers::FlatBufferBuilder builder;
  const auto sender = builder.CreateString("127.0.0.1:7000");
  const auto known = wire::CreateRevisionNotice(builder, wire::TableId::Objects, 7);
  const auto later_kind = static_cast<wire::Message>(250);
  const std::vector<flatbuffers::Offset<wire::Envelope>> envelopes = {
      wire::CreateEnvelope(builder, sender, later_kind, known.Union()),
      wire::CreateEnvelope(builder, sender, wire::Message::RevisionNotice, known.Union())};
  builder.Finish(wire::CreateFrame(builder, builder.CreateVector(envelopes)));
  const std::string_view bytes(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  const auto decoded = wire::decode_frame(bytes);
  REQUIRE(succeeded(decoded));
  REQUIRE(value_of(decoded).size() == 2);
  CHECK(value_of(decoded)[0].body.value == nullptr);
  CHECK(value_of(decoded)[1].body.AsRevisionNotice()->revision == 7);
}
