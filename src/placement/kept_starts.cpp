#include "placement/kept_starts.hpp"

namespace madderdeck::placement {
namespace {

/// An engine has likely evicted a prefix that was not used for this time.
constexpr Duration kKept = 20s;
/// Further keys are not tracked: 4,096 keys with a few engines each take about 1 MB.
constexpr std::size_t kMostKeys = 4'096;

}  // namespace

void kept_starts::used(const std::string& key, const BackendId& engine, Timestamp now) {
  if (used_at_.size() >= kMostKeys && !used_at_.contains(key)) {
    return;
  }
  used_at_[key][engine] = now;
}

bool kept_starts::keeps(const std::string& key, const BackendId& engine, Timestamp now) const {
  const auto engines = used_at_.find(key);
  if (engines == used_at_.end()) {
    return false;
  }
  const auto used = engines->second.find(engine);
  return used != engines->second.end() && now - used->second < kKept;
}

void kept_starts::forget(const BackendId& engine) {
  for (auto& [key, engines] : used_at_) {
    engines.erase(engine);
  }
}

void kept_starts::forget_old(Timestamp now) {
  for (auto entry = used_at_.begin(); entry != used_at_.end();) {
    std::erase_if(entry->second, [now](const auto& used) { return now - used.second >= kKept; });
    entry = entry->second.empty() ? used_at_.erase(entry) : std::next(entry);
  }
}

}  // namespace madderdeck::placement
