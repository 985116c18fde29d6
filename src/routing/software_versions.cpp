#include "routing/software_versions.hpp"

namespace madderdeck::routing {

void software_versions::add(const std::string& pool, const std::string& version, Timestamp now) {
  known_pool& known = pools_.try_emplace(pool, known_pool{now, {}}).first->second;
  forget(known, now);
  ++known.versions[version].back_ends;
}

void software_versions::remove(const std::string& pool, const std::string& version, Timestamp now) {
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return;
  }
  const auto entry = known->second.versions.find(version);
  if (entry != known->second.versions.end() && entry->second.back_ends > 0) {
    --entry->second.back_ends;
    entry->second.gone_at = now;
  }
}

void software_versions::forget(known_pool& pool, Timestamp now) {
  std::erase_if(pool.versions, [now](const auto& entry) {
    return entry.second.back_ends == 0 && now - entry.second.gone_at > kMemory;
  });
}

std::set<std::string> software_versions::since(const std::string& pool, Timestamp since) const {
  std::set<std::string> found;
  const auto known = pools_.find(pool);
  if (known == pools_.end()) {
    return found;
  }
  for (const auto& [name, state] : known->second.versions) {
    if (state.back_ends > 0 || state.gone_at >= since) {
      found.insert(name);
    }
  }
  return found;
}

std::optional<std::string> software_versions::sole_since(const std::string& pool, Timestamp since) const {
  const auto known = pools_.find(pool);
  if (known == pools_.end() || known->second.known_since > since) {
    return std::nullopt;
  }
  const std::set<std::string> versions = this->since(pool, since);
  const bool sole = versions.size() == 1 && !versions.begin()->empty();
  return sole ? std::optional(*versions.begin()) : std::nullopt;
}

}  // namespace madderdeck::routing
