#include "tenancy/authentication.hpp"

namespace madderdeck::tenancy {

identity authenticate(const tenant_directory& directory, const credentials& shown, const key_trust& trust,
                      Duration age) {
  if (directory.empty()) {
    return {verdict::allowed, nullptr};
  }
  const bool sends_key = shown.key.has_value() || shown.ambiguous;
  if (!sends_key && shown.public_route) {
    return {verdict::allowed, nullptr};
  }
  const tenant* who = shown.key ? directory.find_by_key(*shown.key) : nullptr;
  if (who == nullptr) {
    return {verdict::unknown_key, nullptr};
  }
  const bool too_old = trust.fail_closed && trust.useful_for.count() > 0 && age > trust.useful_for;
  return too_old ? identity{verdict::keys_too_old, nullptr} : identity{verdict::allowed, who};
}

}  // namespace madderdeck::tenancy
