#pragma once
/// @file A schema of messages and records in text form: decodes bytes with it and checks the compatibility of a later
/// schema.

#include <flatbuffers/idl.h>

#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire/codec.hpp"

namespace madderdeck::tests {

/// @return the content of the file at @p path. Throws std::runtime_error when it cannot be read.
inline std::string read_whole_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw std::runtime_error(path + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

/// A parsed schema. Throws std::runtime_error if its text is not a valid schema.
class wire_schema {
 public:
  explicit wire_schema(const std::string& text) {
    parser_.opts.strict_json = true;
    parser_.opts.indent_step = -1;
    if (!parser_.Parse(text.c_str())) {
      throw std::runtime_error(parser_.error_);
    }
  }

  /// @return the values of @p bytes, read as a table of @p type; null if they have values that text cannot represent.
  boost::json::value read(const std::string& type, const wire::Bytes& bytes) {
    set_root(type);
    std::string text;
    if (!flatbuffers::GenerateText(parser_, bytes.data(), &text)) {
      return nullptr;
    }
    return boost::json::parse(text);
  }
  /// @return @p values encoded as a table of @p type; nothing if the schema does not allow them.
  std::optional<std::string> write(const std::string& type, const boost::json::value& values) {
    set_root(type);
    if (!parser_.Parse(boost::json::serialize(values).c_str())) {
      return std::nullopt;
    }
    return std::string(reinterpret_cast<const char*>(parser_.builder_.GetBufferPointer()), parser_.builder_.GetSize());
  }
  /// @return the kinds of message, by their numbers.
  std::vector<std::pair<std::int64_t, std::string>> kinds() const {
    std::vector<std::pair<std::int64_t, std::string>> all;
    for (const flatbuffers::EnumVal* kind : parser_.enums_.Lookup("madderdeck.wire.Message")->Vals()) {
      if (kind->IsNonZero()) {
        all.emplace_back(kind->GetAsInt64(), kind->name);
      }
    }
    return all;
  }
  const flatbuffers::Parser& parsed() const { return parser_; }

 private:
  void set_root(const std::string& type) {
    if (!parser_.SetRootType(("madderdeck.wire." + type).c_str())) {
      throw std::runtime_error("no table " + type);
    }
  }
  flatbuffers::Parser parser_;
};

/// Checks a later schema against an earlier one: fields may only be added at the end of a table, values only at the
/// end of an enumeration or union; nothing may be removed, renamed, renumbered or get another type or default.
class schema_comparison {
 public:
  schema_comparison(const wire_schema& earlier, const wire_schema& later)
      : earlier_(earlier.parsed()), later_(later.parsed()) {
    for (const flatbuffers::StructDef* type : earlier_.structs_.vec) {
      compare(*type);
    }
    for (const flatbuffers::EnumDef* type : earlier_.enums_.vec) {
      compare(*type);
    }
  }
  /// @return one line for each incompatible change.
  const std::vector<std::string>& breaches() const { return breaches_; }

 private:
  static std::string full_name(const flatbuffers::Definition& type) {
    return type.defined_namespace->GetFullyQualifiedName(type.name);
  }
  static std::string type_name(const flatbuffers::Type& type) {
    std::string name = std::to_string(type.base_type) + "/" + std::to_string(type.element);
    name += type.struct_def != nullptr ? " " + type.struct_def->name : "";
    return name + (type.enum_def != nullptr ? " " + type.enum_def->name : "");
  }
  void expect(bool holds, const std::string& breach) {
    if (!holds) {
      breaches_.push_back(breach);
    }
  }

  void compare(const flatbuffers::StructDef& before) {
    const flatbuffers::StructDef* after = later_.structs_.Lookup(full_name(before));
    expect(after != nullptr, before.name + " is gone");
    if (after == nullptr) {
      return;
    }
    expect(after->fixed == before.fixed, before.name + " is a struct no more, or one now");
    expect(!before.fixed || after->fields.vec.size() == before.fields.vec.size(), before.name + " has other fields");
    unsigned last = 0;
    for (const flatbuffers::FieldDef* field : before.fields.vec) {
      last = std::max<unsigned>(last, field->value.offset);
      compare(before.name, *field, after->fields.Lookup(field->name));
    }
    for (const flatbuffers::FieldDef* field : after->fields.vec) {
      const bool added = before.fields.Lookup(field->name) == nullptr;
      expect(!added || field->value.offset > last, before.name + "." + field->name + " was not added at the end");
      expect(!added || !field->IsRequired(), before.name + "." + field->name + " was added and is required");
    }
  }
  void compare(const std::string& type, const flatbuffers::FieldDef& before, const flatbuffers::FieldDef* after) {
    const std::string name = type + "." + before.name;
    expect(after != nullptr && !after->deprecated, name + " is gone");
    if (after == nullptr) {
      return;
    }
    expect(after->value.offset == before.value.offset, name + " has another place");
    expect(type_name(after->value.type) == type_name(before.value.type), name + " has another type");
    expect(after->value.constant == before.value.constant, name + " has another default");
    expect(after->presence == before.presence, name + " is required now, or optional");
  }
  void compare(const flatbuffers::EnumDef& before) {
    const flatbuffers::EnumDef* after = later_.enums_.Lookup(full_name(before));
    expect(after != nullptr, before.name + " is gone");
    if (after == nullptr) {
      return;
    }
    expect(after->underlying_type.base_type == before.underlying_type.base_type, before.name + " has another size");
    for (const flatbuffers::EnumVal* value : before.Vals()) {
      const flatbuffers::EnumVal* now = after->Lookup(value->name);
      const std::string name = before.name + "." + value->name;
      expect(now != nullptr, name + " is gone");
      expect(now == nullptr || now->GetAsInt64() == value->GetAsInt64(), name + " has another number");
      expect(now == nullptr || type_name(now->union_type) == type_name(value->union_type), name + " has another type");
    }
    for (const flatbuffers::EnumVal* value : after->Vals()) {
      const bool added = before.Lookup(value->name) == nullptr;
      expect(!added || value->GetAsInt64() > before.MaxValue()->GetAsInt64(),
             before.name + "." + value->name + " was not added at the end");
    }
  }

  const flatbuffers::Parser& earlier_;
  const flatbuffers::Parser& later_;
  std::vector<std::string> breaches_;
};

}  // namespace madderdeck::tests
