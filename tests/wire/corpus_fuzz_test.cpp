/// Messages from a node of another version may lack fields or have unknown kinds; frames from a faulty network may be
/// truncated or have changed bytes. Each gives a typed error, is counted, or is handled by its content: the node
/// continues, and never drops the rest of a frame because of an unknown kind. The frames are those of the corpus.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "node/node_core.hpp"
#include "simulation/fleet.hpp"
#include "support/fake_backends.hpp"
#include "support/test_environment.hpp"
#include "wire/wire_corpus.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;

namespace {

namespace json = boost::json;

constexpr std::uint8_t kFirstUnknownKind = 200;
constexpr unsigned kMostRemoved = 12;
constexpr unsigned kMaxChangedBytes = 4;

const std::vector<corpus_version>& corpus() {
  static const std::vector<corpus_version> all = read_corpus();
  return all;
}

/// A platform client that never answers.
class silent_store : public object_store::PlatformClient {
 public:
  void watch_objects(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void watch_machines(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void get(const config::EntryKey&, object_store::GetDone) override {}
  void put(const object_store::PutRequest&, object_store::PutDone) override {}
};

/// A single node with all roles and a disk.
struct node_fixture {
  node_fixture() : storage(environment.world, process), core(dependencies(), options()) {
    process.start();
    core.start();
  }
  node::NodeDependencies dependencies() { return {environment, counters, &storage, backends, store, log}; }
  static node::NodeOptions options() {
    node::NodeOptions options;
    options.self.id = "self";
    options.self.disk_id = "disk";
    options.self.peer_address = "10.1.2.9:1";
    options.self.zone = "z";
    options.self.roles = 15;
    options.self.incarnation = 1;
    options.policies.shared_calls = true;
    return options;
  }
  /// Decodes @p bytes as a frame and handles its messages.
  /// @return whether the bytes were a valid frame.
  bool receive(const std::string& bytes) {
    const auto decoded = wire::decode_frame(bytes);
    if (!succeeded(decoded)) {
      return false;
    }
    for (const wire::Incoming& incoming : value_of(decoded)) {
      core.handle(incoming);
    }
    return true;
  }

  TestEnvironment environment;
  Counters counters;
  simulation::SimProcess process{environment.world};
  simulation::SimStorage storage;
  FakeBackends backends;
  silent_store store;
  NoDecisionLog log;
  node::NodeCore core;
};

/// Removes one field at any depth of @p value. Fields with the kind of a message stay, since a message needs one.
void remove_a_field(json::value& value) {
  if (value.is_array() && !value.as_array().empty()) {
    json::array& list = value.as_array();
    remove_a_field(list[*rc::gen::inRange<std::size_t>(0, list.size())]);
  }
  if (!value.is_object() || value.as_object().empty()) {
    return;
  }
  json::object& fields = value.as_object();
  auto field = fields.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(fields.size()));
  const bool kind = field->key() == "body_type" || field->key() == "body";
  const bool ballot = field->value().is_object() && field->value().as_object().contains(
                                                        "proposer");  // a ballot is kept complete or removed completely
  const bool deeper = (field->value().is_object() && !ballot) || field->value().is_array();
  if (kind || (deeper && *rc::gen::inRange(0, 4) > 0)) {
    remove_a_field(field->value());
  } else {
    fields.erase(field);
  }
}

/// @return @p messages in one frame, in which those that @p unknown names have an unknown kind.
std::string frame_with_unknown(const std::vector<wire::Incoming>& messages, const std::vector<bool>& unknown) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::Envelope>> envelopes;
  for (std::size_t position = 0; position < messages.size(); ++position) {
    const auto sender = builder.CreateString(messages[position].sender.str());
    const auto body = messages[position].body.Pack(builder);
    const auto later = static_cast<wire::Message>(kFirstUnknownKind + position % 50);
    envelopes.push_back(
        wire::CreateEnvelope(builder, sender, unknown[position] ? later : messages[position].body.type, body));
  }
  builder.Finish(wire::CreateFrame(builder, builder.CreateVector(envelopes)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// @return the messages of @p version without some of their fields.
json::value values_without_fields(const corpus_version& version) {
  json::array envelopes(version.messages.begin(), version.messages.end());
  json::value frame = json::object{{"envelopes", std::move(envelopes)}};
  const unsigned removed = *rc::gen::inRange(1U, kMostRemoved);
  for (unsigned count = 0; count < removed; ++count) {
    remove_a_field(frame.as_object()["envelopes"]);
  }
  return frame;
}

bool all_have_senders(const json::value& frame) {
  const json::array& envelopes = frame.at("envelopes").as_array();
  return std::all_of(envelopes.begin(), envelopes.end(),
                     [](const json::value& envelope) { return envelope.as_object().contains("sender"); });
}

const corpus_version& any_version() { return corpus()[*rc::gen::inRange<std::size_t>(0, corpus().size())]; }

/// @return @p bytes with some of them changed, and truncated.
std::string damaged(std::string bytes) {
  const unsigned flips = *rc::gen::inRange(0U, kMaxChangedBytes);
  for (unsigned count = 0; count < flips; ++count) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
  }
  if (*rc::gen::inRange(0, 4) == 0) {
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
  }
  return bytes;
}

}  // namespace

TEST_CASE("a node handles every message of every earlier version") {
  for (const corpus_version& version : corpus()) {
    INFO(version.commit);
    node_fixture node;
    CHECK(node.receive(version.frame));
    node.environment.world.run_for(2s);
    CHECK(node.counters["peer_messages_unknown_total"] == 0);
  }
}

TEST_CASE("messages of unknown kinds are counted and the others of their frame handled") {
  rc::prop("unknown kinds anywhere in a frame", [] {
    const auto known = wire::decode_frame(any_version().frame);
    const auto unknown = *rc::gen::container<std::vector<bool>>(value_of(known).size(), rc::gen::arbitrary<bool>());
    const std::string frame = frame_with_unknown(value_of(known), unknown);
    const auto decoded = wire::decode_frame(frame);
    RC_ASSERT(succeeded(decoded));
    RC_ASSERT(value_of(decoded).size() == value_of(known).size());
    for (std::size_t position = 0; position < unknown.size(); ++position) {
      const wire::Incoming& after = value_of(decoded)[position];
      const wire::Incoming& before = value_of(known)[position];
      RC_ASSERT((after.body.value == nullptr) == unknown[position]);
      if (!unknown[position]) {
        RC_ASSERT(wire::encode_frame(after.sender, {after.body}) == wire::encode_frame(before.sender, {before.body}));
      }
    }
    node_fixture node;
    RC_ASSERT(node.receive(frame));
    RC_ASSERT(node.counters["peer_messages_unknown_total"] ==
              static_cast<CounterValue>(std::count(unknown.begin(), unknown.end(), true)));
  });
}

TEST_CASE("a node goes on when messages lack fields") {
  wire_schema schema(read_whole_file("src/wire/messages.fbs"));
  std::size_t frames = 0;
  rc::prop("fields missing anywhere", [&schema, &frames] {
    const json::value values = values_without_fields(any_version());
    const auto frame = schema.write("Frame", values);
    RC_PRE(frame.has_value());
    node_fixture node;
    // A message without a sender makes the frame invalid; any other field may be missing.
    RC_ASSERT(node.receive(*frame) == all_have_senders(values));
    frames += all_have_senders(values) ? 1 : 0;
    node.environment.world.run_for(100ms);
  });
  CHECK(frames > 0);
}

TEST_CASE("a node goes on when frames are cut or have other bytes") {
  std::size_t taken = 0;
  rc::prop("damaged frames", [&taken] {
    node_fixture node;
    const std::string bytes = damaged(any_version().frame);
    const auto decoded = wire::decode_frame(bytes);
    if (!succeeded(decoded)) {
      RC_ASSERT(error_of(decoded).kind == ErrorKind::corrupted);
    }
    taken += succeeded(decoded) ? 1 : 0;
    node.receive(bytes);
    node.environment.world.run_for(100ms);
  });
  CHECK(taken > 0);  // otherwise no node has handled a damaged frame
}

TEST_CASE("records that are cut, have other bytes or lack fields are read or refused") {
  wire_schema schema(read_whole_file("src/wire/messages.fbs"));
  rc::prop("any record", [&schema] {
    const corpus_version& version = any_version();
    const auto& record = version.records[*rc::gen::inRange<std::size_t>(0, version.records.size())];
    const std::string bytes = damaged(std::string(record.bytes.begin(), record.bytes.end()));
    reread_record(schema, record.type, wire::Bytes(bytes.begin(), bytes.end()));
    json::value values = record.values;
    remove_a_field(values);
    const auto shorter = schema.write(record.type, values);
    RC_ASSERT(shorter.has_value());
    RC_ASSERT(reread_record(schema, record.type, wire::Bytes(shorter->begin(), shorter->end())) == values);
  });
}

TEST_CASE("entries of back ends with fields missing, unknown or of another type are read or refused") {
  rc::prop("any entry", [] {
    const corpus_version& version = any_version();
    json::value body = json::parse(version.entries.at(0).second);
    remove_a_field(body);
    body.as_object()["of_a_later_version"] = 7;
    const bool refused = !succeeded(config::parse_machine("engine-7", json::serialize(body)));
    RC_ASSERT(refused == !body.as_object().contains("pool"));
    config::parse_machine("engine-7", damaged(version.entries.at(0).second));
  });
}
