#include "tenancy/tenant_directory.hpp"

#include <cmath>

#include "common/hash.hpp"

namespace madderdeck::tenancy {
namespace {

Error tenant_error(const tenant& found, const std::string& problem) {
  return Error{ErrorKind::invalid_argument, "tenant '" + found.name + "': " + problem};
}

bool is_valid_rate(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

Result<tenant_directory> tenant_directory::build(std::vector<tenant> tenants) {
  index by_key;
  index by_name;
  for (std::size_t position = 0; position < tenants.size(); ++position) {
    const tenant& one = tenants[position];
    if (one.name.empty()) {
      return tenant_error(one, "a tenant must have a name");
    }
    if (!by_name.emplace(one.name, position).second) {
      return tenant_error(one, "duplicate tenant name");
    }
    if (!is_valid_rate(one.rate.per_second) || !is_valid_rate(one.rate.burst)) {
      return tenant_error(one, "rate and burst must be finite numbers of at least 0");
    }
    for (const std::string& key : one.keys) {
      if (key.empty() || key.size() > kMaxKeyBytes) {
        return tenant_error(one, "key length is " + std::to_string(key.size()) + " bytes, must be 1 to " +
                                     std::to_string(kMaxKeyBytes));
      }
      const auto [entry, first] = by_key.emplace(key, position);
      if (!first && entry->second != position) {
        return tenant_error(
            one, "key " + key_fingerprint(key) + " already belongs to tenant '" + tenants[entry->second].name + "'");
      }
    }
  }
  tenant_directory directory;
  directory.tenants_ = std::make_shared<const std::vector<tenant>>(std::move(tenants));
  directory.by_key_ = std::make_shared<const index>(std::move(by_key));
  directory.by_name_ = std::make_shared<const index>(std::move(by_name));
  return directory;
}

const tenant* tenant_directory::find_by_key(std::string_view key) const {
  if (by_key_ == nullptr) {
    return nullptr;
  }
  const auto entry = by_key_->find(key);
  return entry == by_key_->end() ? nullptr : &(*tenants_)[entry->second];
}

const tenant* tenant_directory::find(std::string_view name) const {
  if (by_name_ == nullptr) {
    return nullptr;
  }
  const auto entry = by_name_->find(name);
  return entry == by_name_->end() ? nullptr : &(*tenants_)[entry->second];
}

const std::vector<tenant>& tenant_directory::tenants() const {
  static const std::vector<tenant> none;
  return tenants_ == nullptr ? none : *tenants_;
}

std::string key_fingerprint(std::string_view key) {
  constexpr std::size_t kDigits = 8;
  return hex64(stable_hash(key)).substr(0, kDigits);
}

}  // namespace madderdeck::tenancy
