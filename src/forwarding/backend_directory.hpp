#pragma once
/// @file Interface through which connections look up back ends and pass on the load that these report.

#include <string>

#include "routing/backend.hpp"

namespace madderdeck::forwarding {

/// Implemented by the node. Single threaded.
class BackendDirectory {
 public:
  virtual ~BackendDirectory() = default;
  /// @return "ip:port" of @p backend; empty when the node no longer knows it.
  virtual std::string address_of(const BackendId& backend) const = 0;
  /// @return whether @p backend may be sent a request now.
  virtual bool accepts_work(const BackendId& backend) const = 0;
  /// @return whether @p backend will shut down soon or is no longer known to the node.
  virtual bool is_leaving(const BackendId& backend) const = 0;
  /// @return number of connections that this node may have open to @p backend.
  virtual std::size_t connection_share(const BackendId& backend) const = 0;
  /// Called when an answer of @p backend contained a load report.
  virtual void on_load(const BackendId& backend, const routing::LoadReport& report) = 0;
};

}  // namespace madderdeck::forwarding
