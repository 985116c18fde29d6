#include "placement/kept_starts.hpp"

namespace madderdeck::placement {
namespace {

/// An engine has likely evicted a prefix that was not used for this time.
constexpr Duration kPrefixLifetime = 20s;
/// Further keys are not tracked: 4,096 keys with a few engines each take about 1 MB.
constexpr std::size_t kMaxKeys = 4'096;

}  // namespace

void prefix_cache_tracker::record_use(const std::string& key, const BackendId& engine, Timestamp now) {
  if (last_used_.size() >= kMaxKeys && !last_used_.contains(key)) {
    return;
  }
  last_used_[key][engine] = now;
}

bool prefix_cache_tracker::likely_cached(const std::string& key, const BackendId& engine, Timestamp now) const {
  const auto engines = last_used_.find(key);
  if (engines == last_used_.end()) {
    return false;
  }
  const auto used = engines->second.find(engine);
  return used != engines->second.end() && now - used->second < kPrefixLifetime;
}

void prefix_cache_tracker::remove(const BackendId& engine) {
  for (auto& [key, engines] : last_used_) {
    engines.erase(engine);
  }
}

void prefix_cache_tracker::remove_expired(Timestamp now) {
  for (auto entry = last_used_.begin(); entry != last_used_.end();) {
    std::erase_if(entry->second, [now](const auto& used) { return now - used.second >= kPrefixLifetime; });
    entry = entry->second.empty() ? last_used_.erase(entry) : std::next(entry);
  }
}

}  // namespace madderdeck::placement
