#pragma once
/// @file Frames, records and entries that programs of earlier versions wrote: tests/wire/corpus, see
/// tools/write-corpus.

#include <algorithm>
#include <filesystem>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "wire/wire_schema.hpp"

namespace madderdeck::tests {

/// Frame, records and entries that the program of one commit wrote.
struct corpus_version {
  struct record {
    std::string type;
    wire::Bytes bytes;
    boost::json::value values;
  };

  std::string commit;
  std::string schema;                         ///< Text of the commit's messages.fbs.
  std::string frame;                          ///< One frame with a message of each kind.
  std::vector<boost::json::object> messages;  ///< The values of these messages, in order: sender, body_type, body.
  std::vector<record> records;
  std::vector<std::pair<std::string, std::string>> entries;  ///< Kind and body of an entry in a list.
};

/// @return the values that the current code reads from @p bytes; null if it cannot read them.
template <class Record>
boost::json::value reread(wire_schema& schema, const std::string& type, const wire::Bytes& bytes) {
  const auto record = wire::decode_record<Record>(bytes);
  return record ? schema.read(type, wire::encode_record(*record)) : boost::json::value();
}

using rereader = boost::json::value (*)(wire_schema&, const std::string&, const wire::Bytes&);

/// All record types that are stored on disks, in the ledger, or as bytes within a message.
inline const std::map<std::string, rereader>& stored_types() {
  static const std::map<std::string, rereader> all = {
      {"ClaimRecord", reread<wire::ClaimRecordT>},    {"JobRecord", reread<wire::JobRecordT>},
      {"ChunkRecord", reread<wire::ChunkRecordT>},    {"ResultRecord", reread<wire::ResultRecordT>},
      {"OrderRecord", reread<wire::OrderRecordT>},    {"HttpItem", reread<wire::HttpItemT>},
      {"GroupState", reread<wire::GroupStateT>},      {"PromiseState", reread<wire::PromiseStateT>},
      {"AcceptState", reread<wire::AcceptStateT>},    {"GroupDescription", reread<wire::GroupDescriptionT>},
      {"SuspicionSync", reread<wire::SuspicionSyncT>}};
  return all;
}

/// @return the values that the current code reads from @p bytes as a record of @p type; null if it rejects them.
inline boost::json::value reread_record(wire_schema& schema, const std::string& type, const wire::Bytes& bytes) {
  return stored_types().at(type)(schema, type, bytes);
}

/// @return all versions of the corpus, by their commits. Throws std::runtime_error if a file is missing.
inline std::vector<corpus_version> read_corpus() {
  const auto lines_of = [](const std::string& path) {
    std::vector<std::string> lines;
    std::istringstream text(read_whole_file(path));
    for (std::string line; std::getline(text, line);) {
      lines.push_back(line);
    }
    return lines;
  };
  std::vector<corpus_version> all;
  for (const auto& folder : std::filesystem::directory_iterator("tests/wire/corpus")) {
    corpus_version version;
    const std::string path = folder.path().string();
    version.commit = folder.path().filename().string();
    version.schema = read_whole_file(path + "/messages.fbs");
    version.frame = read_whole_file(path + "/frame.bin");
    for (const std::string& line : lines_of(path + "/frame.txt")) {
      version.messages.push_back(boost::json::parse(line).as_object());
    }
    for (const std::string& line : lines_of(path + "/records.txt")) {
      std::istringstream words(line);
      corpus_version::record record;
      std::string hex;
      std::string values;
      words >> record.type >> hex;
      std::getline(words, values);
      for (std::size_t position = 0; position + 1 < hex.size(); position += 2) {
        record.bytes.push_back(static_cast<std::uint8_t>(std::stoul(hex.substr(position, 2), nullptr, 16)));
      }
      record.values = boost::json::parse(values);
      version.records.push_back(std::move(record));
    }
    for (const std::string& line : lines_of(path + "/entries.txt")) {
      const std::size_t space = line.find(' ');
      version.entries.emplace_back(line.substr(0, space), line.substr(space + 1));
    }
    all.push_back(std::move(version));
  }
  std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) { return left.commit < right.commit; });
  return all;
}

}  // namespace madderdeck::tests
