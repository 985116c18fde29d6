#pragma once
/// @file Identifier types that do not convert to one another.

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace madderdeck {

/// A string identifier made distinct by @p Tag.
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const StrongId&) const = default;

 private:
  std::string value_;
};

template <class Tag>
std::ostream& operator<<(std::ostream& stream, const StrongId<Tag>& id) {
  return stream << id.str();
}

/// Name of a node, unique in the fleet.
using NodeId = StrongId<struct NodeIdTag>;
/// "ip:port" at which a node listens for its peers, on both UDP and TCP.
using PeerAddress = StrongId<struct PeerAddressTag>;
/// Identity of one data folder; a replaced or emptied folder has a different identity.
using DiskId = StrongId<struct DiskIdTag>;
/// "ip:port" of a back end, which is also its name.
using BackendId = StrongId<struct BackendIdTag>;
/// Name of a batch job.
using JobId = StrongId<struct JobIdTag>;

}  // namespace madderdeck

template <class Tag>
struct std::hash<madderdeck::StrongId<Tag>> {
  std::size_t operator()(const madderdeck::StrongId<Tag>& id) const { return std::hash<std::string>{}(id.str()); }
};
