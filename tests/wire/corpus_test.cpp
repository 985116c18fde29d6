/// Nodes of two versions run side by side, and a node reads records on its disk that an earlier version wrote. The
/// corpus holds a message and a record of each kind as each earlier version encoded it, with the values that were
/// encoded. The current code must read each value as written, and the current schema must stay compatible with earlier
/// ones.
#include <catch2/catch.hpp>

#include "config/objects.hpp"
#include "wire/wire_corpus.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;

namespace {

namespace json = boost::json;

constexpr char kTodaysSchema[] = "src/wire/messages.fbs";

wire_schema todays_schema() { return wire_schema(read_whole_file(kTodaysSchema)); }

/// @return @p text with the first @p before replaced. Fails if there is none, since the test would check nothing.
std::string spoiled(std::string text, const std::string& before, const std::string& after) {
  const std::size_t position = text.find(before);
  if (position == std::string::npos) {
    throw std::runtime_error("the schema has no '" + before + "'");
  }
  return text.replace(position, before.size(), after);
}

}  // namespace

TEST_CASE("the corpus has a message of each kind that its version knew, and a record of each type") {
  const std::vector<corpus_version> all = read_corpus();
  REQUIRE(all.size() >= 5);
  for (const corpus_version& version : all) {
    INFO(version.commit);
    const auto kinds = wire_schema(version.schema).kinds();
    REQUIRE(version.messages.size() == kinds.size());
    for (std::size_t position = 0; position < kinds.size(); ++position) {
      CHECK(version.messages[position].at("body_type").as_string() == kinds[position].second);
    }
    const wire_schema schema(version.schema);
    for (const auto& [type, reader] : stored_types()) {
      const bool known = schema.parsed().structs_.Lookup("madderdeck.wire." + type) != nullptr;
      const bool written = std::any_of(version.records.begin(), version.records.end(),
                                       [&type = type](const auto& record) { return record.type == type; });
      CHECK(written == known);
    }
  }
}

TEST_CASE("messages of earlier versions are read with the values that were written") {
  wire_schema schema = todays_schema();
  for (const corpus_version& version : read_corpus()) {
    const auto decoded = wire::decode_frame(version.frame);
    REQUIRE(succeeded(decoded));
    REQUIRE(value_of(decoded).size() == version.messages.size());
    for (std::size_t position = 0; position < version.messages.size(); ++position) {
      const wire::Incoming& incoming = value_of(decoded)[position];
      INFO(version.commit << " " << version.messages[position].at("body_type"));
      REQUIRE(incoming.body.value != nullptr);
      const json::value said = schema.read("Frame", wire::encode_frame(incoming.sender, {incoming.body}));
      CHECK(said.at("envelopes").as_array().at(0) == version.messages[position]);
    }
  }
}

TEST_CASE("records of earlier versions are read with the values that were written") {
  wire_schema schema = todays_schema();
  for (const corpus_version& version : read_corpus()) {
    for (const corpus_version::record& record : version.records) {
      INFO(version.commit << " " << record.type);
      CHECK(reread_record(schema, record.type, record.bytes) == record.values);
    }
  }
}

TEST_CASE("entries of lists of earlier versions are read with the values that were written") {
  for (const corpus_version& version : read_corpus()) {
    INFO(version.commit);
    REQUIRE(version.entries.size() == 2);
    for (const auto& [kind, body] : version.entries) {
      if (kind == "groups") {
        const auto map = config::parse_group_map(body);
        REQUIRE(succeeded(map));
        CHECK(config::format_group_map(value_of(map)) == body);
        CHECK(value_of(map).groups.at(0).leaving.size() == 1);
        continue;
      }
      const auto machine = config::parse_machine("engine-7", body);
      REQUIRE(succeeded(machine));
      json::object said = json::parse(config::format_machine(value_of(machine))).as_object();
      const json::value written = json::parse(body);
      for (const auto& [name, value] : written.as_object()) {
        INFO(std::string(name));
        CHECK(said[name] == value);
      }
    }
  }
}

TEST_CASE("the current schema only adds to earlier schemas") {
  const wire_schema today = todays_schema();
  for (const corpus_version& version : read_corpus()) {
    INFO(version.commit);
    CHECK(schema_comparison(wire_schema(version.schema), today).breaches() == std::vector<std::string>());
  }
}

TEST_CASE("the generated code has the message kinds of the current schema with the same numbers") {
  for (const auto& [number, name] : todays_schema().kinds()) {
    CHECK(wire::EnumNameMessage(static_cast<wire::Message>(number)) == name);
  }
}

TEST_CASE("an incompatible schema change is detected") {
  struct spoiling {
    const char* before;
    const char* after;
    const char* breach;
  };
  const std::vector<spoiling> all = {
      {"table PingRequest { sequence:ulong; target:string; }", "table PingRequest { sequence:ulong; }",
       "PingRequest.target is gone"},
      {"{ sequence:ulong; target:string; }", "{ sequence:ulong; goal:string; }", "PingRequest.target is gone"},
      {"{ sequence:ulong; target:string; }", "{ sequence:ulong; target:string (deprecated); }",
       "PingRequest.target is gone"},
      {"{ sequence:ulong; target:string; }", "{ sequence:ulong; zone:string; target:string; }",
       "PingRequest.target has another place"},
      {"{ sequence:ulong; target:string; }", "{ target:string; sequence:ulong; }",
       "PingRequest.sequence has another place"},
      {"{ sequence:ulong; target:string; }", "{ sequence:uint; target:string; }",
       "PingRequest.sequence has another type"},
      {"incarnation:ulong;", "incarnation:ulong = 1;", "Member.incarnation has another default"},
      {"table OrderRecord { indexes:[uint]; }", "table OrderRecord { indexes:[ulong]; }",
       "OrderRecord.indexes has another type"},
      {"struct Ballot { counter:ulong; proposer:ulong; }",
       "struct Ballot { counter:ulong; proposer:ulong; more:ulong; }", "Ballot has other fields"},
      {"Ping, PingRequest, Ack,", "Ping, Ack,", "Message.PingRequest is gone"},
      {"Ping, PingRequest, Ack,", "Ping, Ack, PingRequest,", "Message.PingRequest has another number"},
      {"Ping, PingRequest, Ack,", "HeldItems, Ping, PingRequest, Ack,", "Message.Ping has another number"},
      {"Leaving = 2, Dead = 3", "Leaving = 3, Dead = 4", "MemberState.Leaving has another number"},
      {"enum JobState : ubyte", "enum JobState : ushort", "JobState has another size"}};
  const std::string today = read_whole_file(kTodaysSchema);
  const wire_schema earlier(today);
  REQUIRE(schema_comparison(earlier, wire_schema(today)).breaches().empty());
  for (const spoiling& one : all) {
    INFO(one.after);
    const wire_schema later(spoiled(today, one.before, one.after));
    const std::vector<std::string> breaches = schema_comparison(earlier, later).breaches();
    CHECK(std::count(breaches.begin(), breaches.end(), one.breach) == 1);
  }
}

TEST_CASE("additions at the end of a schema are compatible") {
  const std::string today = read_whole_file(kTodaysSchema);
  std::string later =
      spoiled(today, "{ sequence:ulong; target:string; }", "{ sequence:ulong; target:string; more:uint; }");
  later = spoiled(later, "StreamAnswer\n}", "StreamAnswer, HeldItems\n}");
  CHECK(schema_comparison(wire_schema(today), wire_schema(later)).breaches().empty());
}
