#pragma once
/// @file Which engines have likely read which prompt starts, by what their coordinator sent there.

#include <map>
#include <string>

#include "common/environment.hpp"
#include "common/strong_id.hpp"

namespace madderdeck::placement {

/// A start is kept while it is used: engines let go of those that were used least lately. Memory is bounded; the starts
/// used least lately are forgotten first. Single threaded.
class kept_starts {
 public:
  void used(const std::string& key, const BackendId& engine, Timestamp now);
  bool keeps(const std::string& key, const BackendId& engine, Timestamp now) const;
  /// The engine has ended, or started again.
  void forget(const BackendId& engine);
  void forget_old(Timestamp now);

 private:
  std::map<std::string, std::map<BackendId, Timestamp>> used_at_;
};

}  // namespace madderdeck::placement
