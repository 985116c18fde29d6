#include "routing/ranked_pool.hpp"

#include "common/hash.hpp"
#include "routing/registry.hpp"

namespace madderdeck::routing {
namespace {

ranked_pool::member member_of(std::uint64_t node_hash, const BackendId& id, Backend* backend) {
  return {rendezvous_weight(node_hash, stable_hash(id.str())), id, backend};
}

}  // namespace

void ranked_pool::add(std::uint64_t node_hash, Backend& backend) {
  const bool added = members_.insert(member_of(node_hash, backend.machine.id, &backend)).second;
  unlisted_ += added && backend.unlisted ? 1 : 0;
}

void ranked_pool::remove(std::uint64_t node_hash, const Backend& backend) {
  const bool removed = members_.erase(member_of(node_hash, backend.machine.id, nullptr)) > 0;
  unlisted_ -= removed && backend.unlisted ? 1 : 0;
}

}  // namespace madderdeck::routing
