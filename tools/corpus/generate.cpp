/// @file Writes a corpus of one version: frames and records as that version's own code encodes them.
/// Compiled by tools/write-corpus against the sources of that version. Arguments: its schema and the folder to write
/// to.

#include <flatbuffers/idl.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <string>

#include "config/objects.hpp"
#include "wire/codec.hpp"

namespace {

namespace json = boost::json;
using namespace madderdeck;

constexpr char kSender[] = "10.1.2.3:7000";
constexpr unsigned kElements = 2;  ///< Of each list.

[[noreturn]] void fail(const std::string& problem) {
  std::cerr << "corpus: " << problem << std::endl;
  std::exit(1);
}

/// Values for all fields of a type, each another one and none its default.
class value_maker {
 public:
  json::object table(const flatbuffers::StructDef& type) {
    json::object fields;
    for (const flatbuffers::FieldDef* field : type.fields.vec) {
      fields[field->name] = value(field->name, field->value.type);
    }
    return fields;
  }

 private:
  json::value value(const std::string& name, const flatbuffers::Type& type) {
    ++number_;
    switch (type.base_type) {
      case flatbuffers::BASE_TYPE_BOOL:
        return true;
      case flatbuffers::BASE_TYPE_STRING:
        return json::string(name + std::to_string(number_));
      case flatbuffers::BASE_TYPE_STRUCT:
        return table(*type.struct_def);
      case flatbuffers::BASE_TYPE_VECTOR:
        return list(name, type.VectorType());
      default:
        return scalar(type);
    }
  }
  json::value scalar(const flatbuffers::Type& type) const {
    if (type.enum_def != nullptr) {
      return json::string(type.enum_def->Vals().back()->name);
    }
    switch (type.base_type) {
      case flatbuffers::BASE_TYPE_UCHAR:
        return number_ % 200 + 1;
      case flatbuffers::BASE_TYPE_UINT:
        return 3'000'000'000U + number_;
      case flatbuffers::BASE_TYPE_LONG:
        return -(std::int64_t{1} << 40) - number_;
      case flatbuffers::BASE_TYPE_ULONG:
        return (std::uint64_t{1} << 60) + number_;
      case flatbuffers::BASE_TYPE_DOUBLE:
        return number_ + 0.5;
      default:
        fail("no value for a field of type " + std::to_string(type.base_type));
    }
  }
  json::array list(const std::string& name, const flatbuffers::Type& element) {
    json::array values;
    for (unsigned count = 0; count < kElements; ++count) {
      values.push_back(value(name, element));
    }
    return values;
  }

  unsigned number_ = 0;
};

/// The schema of the version, to write values and to read them back.
class schema {
 public:
  explicit schema(const std::string& text) {
    parser_.opts.strict_json = true;
    parser_.opts.indent_step = -1;
    if (!parser_.Parse(text.c_str())) {
      fail(parser_.error_);
    }
  }
  const flatbuffers::StructDef& table(const std::string& name) {
    const auto* found = parser_.structs_.Lookup("madderdeck.wire." + name);
    return found != nullptr ? *found : (fail("no table " + name), *found);
  }
  const flatbuffers::EnumDef& kinds() { return *parser_.enums_.Lookup("madderdeck.wire.Message"); }
  /// @return @p values as bytes of a table.
  std::string write(const std::string& type, const json::value& values) {
    root(type);
    if (!parser_.Parse(json::serialize(values).c_str())) {
      fail(type + ": " + parser_.error_);
    }
    const auto& builder = parser_.builder_;
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
  }
  /// @return what @p bytes of a table say.
  json::value read(const std::string& type, const wire::Bytes& bytes) {
    root(type);
    std::string text;
    if (!flatbuffers::GenerateText(parser_, bytes.data(), &text)) {
      fail(type + ": cannot be written as text");
    }
    return json::parse(text);
  }

 private:
  void root(const std::string& type) {
    if (!parser_.SetRootType(("madderdeck.wire." + type).c_str())) {
      fail("no table " + type);
    }
  }
  flatbuffers::Parser parser_;
};

std::string hex(const wire::Bytes& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : bytes) {
    text += {kDigits[byte / 16], kDigits[byte % 16]};
  }
  return text;
}

void write_file(const std::string& path, const std::string& content) {
  std::ofstream file(path, std::ios::binary);
  if (!(file << content)) {
    fail(path + ": cannot be written");
  }
}

/// One frame with a message of each kind, and what it says.
void write_frame(schema& version, const std::string& folder) {
  json::array envelopes;
  value_maker values;
  for (const flatbuffers::EnumVal* kind : version.kinds().Vals()) {
    if (kind->union_type.struct_def != nullptr) {
      envelopes.push_back(json::object{
          {"sender", kSender}, {"body_type", json::string(kind->name)}, {"body", values.table(*kind->union_type.struct_def)}});
    }
  }
  const json::value written = json::object{{"envelopes", envelopes}};
  const auto decoded = wire::decode_frame(version.write("Frame", written));
  if (!succeeded(decoded)) {
    fail("frame: " + error_of(decoded).detail);
  }
  std::vector<wire::MessageUnion> messages;
  for (const wire::Incoming& incoming : value_of(decoded)) {
    messages.push_back(incoming.body);
  }
  const wire::Bytes frame = wire::encode_frame(PeerAddress(kSender), messages);
  if (version.read("Frame", frame) != written) {
    fail("frame: the version's own code changed a value");
  }
  write_file(folder + "/frame.bin", {frame.begin(), frame.end()});
  std::string text;
  for (const json::value& envelope : envelopes) {
    text += json::serialize(envelope) + "\n";
  }
  write_file(folder + "/frame.txt", text);
}

/// @return a line: the record's type, its bytes and what they say.
template <class Record>
std::string record_line(schema& version, const std::string& type) {
  value_maker values;
  const json::value written = values.table(version.table(type));
  const auto record = wire::decode_record<Record>(version.write(type, written));
  if (!record) {
    fail(type + ": cannot be decoded");
  }
  const wire::Bytes bytes = wire::encode_record(*record);
  if (version.read(type, bytes) != written) {
    fail(type + ": the version's own code changed a value");
  }
  return type + " " + hex(bytes) + " " + json::serialize(written) + "\n";
}

void write_records(schema& version, const std::string& folder) {
  std::string text;
#define RECORD(type) text += record_line<wire::type##T>(version, #type);
#include "records.inc"
#undef RECORD
  write_file(folder + "/records.txt", text);
}

/// Entries of lists that nodes pass on: a back end's and the replica groups'.
template <class Machine>
void write_entries(const std::string& folder) {
  Machine machine;
  machine.id = BackendId("engine-7");
  machine.address = "10.1.2.4:8000";
  machine.target = decltype(machine.target)::service;
  machine.pools = {"a", "b"};
  machine.zone = "z2";
  machine.slots = 12;
  machine.leaving = true;
  if constexpr (requires { machine.started_unix_ms; }) {
    machine.started_unix_ms = 1'700'000'000'123;
  }
  ledger::ReplicaGroup group;
  group.epoch = 5;
  group.replicas = {{NodeId("l1"), DiskId("d1")}, {NodeId("l2"), DiskId("d2")}};
  group.leaving = {{NodeId("l3"), DiskId("d3")}};
  ledger::GroupMap map;
  map.groups = {group};
  write_file(folder + "/entries.txt",
             "machine " + config::format_machine(machine) + "\ngroups " + config::format_group_map(map) + "\n");
}

}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 3) {
    fail("usage: generate SCHEMA FOLDER");
  }
  std::ifstream file(arguments[1]);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  schema version(text);
  const std::string folder = arguments[2];
  write_frame(version, folder);
  write_records(version, folder);
  write_entries<config::Machine>(folder);
  return 0;
}
