#pragma once
/// @file The tenants of a fleet: which tenant a key belongs to, and what that tenant may use.

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/error.hpp"

namespace madderdeck::tenancy {

/// Requests that a tenant may send over all nodes. Immutable.
struct rate_limit {
  double per_second = 0;  ///< 0: no limit.
  double burst = 0;       ///< Additional requests allowed in any window.

  bool limited() const { return per_second > 0; }
  auto operator<=>(const rate_limit&) const = default;
};

/// A customer of the fleet. Immutable once it is in a directory.
struct tenant {
  std::string name;
  std::vector<std::string> keys;  ///< Each key belongs to this tenant only.
  std::uint32_t priority = 0;     ///< 0 is the most urgent; compared before the priority of a route.
  rate_limit rate;

  auto operator<=>(const tenant&) const = default;
};

/// Maximum length of a key in bytes: the default limit for the header of a request.
inline constexpr std::size_t kMaxKeyBytes = 16 * 1024;

/// All tenants at one version of the configuration. Immutable; a key is looked up in constant time.
class tenant_directory {
 public:
  tenant_directory() = default;

  /// Checks @p tenants and indexes their keys.
  /// @return ErrorKind::invalid_argument for a tenant without a name, a duplicate name, a key that is empty, longer
  ///         than kMaxKeyBytes or used by two tenants, and a rate or burst that is negative or not finite. The error
  ///         detail shows a key by its fingerprint only.
  static Result<tenant_directory> build(std::vector<tenant> tenants);

  /// @return the tenant that @p key belongs to; null if there is none.
  const tenant* find_by_key(std::string_view key) const;
  const tenant* find(std::string_view name) const;
  bool empty() const { return tenants_ == nullptr || tenants_->empty(); }
  /// @return the tenants in the order in which they were declared.
  const std::vector<tenant>& tenants() const;

 private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  using index = std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>;

  /// Shared by all copies, since many requests hold a configuration at the same time.
  std::shared_ptr<const std::vector<tenant>> tenants_;
  std::shared_ptr<const index> by_key_;
  std::shared_ptr<const index> by_name_;
};

/// @return eight hexadecimal digits that identify a key in logs and lists without revealing it.
std::string key_fingerprint(std::string_view key);

}  // namespace madderdeck::tenancy
