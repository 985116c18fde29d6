#pragma once
/// @file Tracks which engines likely have which prompt prefixes in their cache, by the calls that were assigned to
/// them.

#include <map>
#include <string>

#include "common/environment.hpp"
#include "common/strong_id.hpp"

namespace madderdeck::placement {

/// A prefix counts as cached for some time after its last use, since engines evict the least recently used prefixes
/// first. Memory is bounded: while the table is full, new prefixes are not tracked. Single threaded.
class prefix_cache_tracker {
 public:
  void record_use(const std::string& key, const BackendId& engine, Timestamp now);
  bool likely_cached(const std::string& key, const BackendId& engine, Timestamp now) const;
  /// Removes all prefixes of an engine that has ended or restarted.
  void remove(const BackendId& engine);
  void remove_expired(Timestamp now);

 private:
  std::map<std::string, std::map<BackendId, Timestamp>> last_used_;
};

}  // namespace madderdeck::placement
