#pragma once
/// @file What connections to back ends need to know about them, and what they learn of them.

#include <string>

#include "routing/backend.hpp"

namespace madderdeck::forwarding {

/// Implemented by the node. Single threaded.
class BackendDirectory {
 public:
  virtual ~BackendDirectory() = default;
  /// @return "ip:port" of @p backend; empty when it is not known any more.
  virtual std::string address_of(const BackendId& backend) const = 0;
  /// @return whether @p backend may be sent a request now.
  virtual bool takes_work(const BackendId& backend) const = 0;
  /// @return whether @p backend is known to end soon, or not known any more.
  virtual bool is_leaving(const BackendId& backend) const = 0;
  /// @return connections that this node may have open to @p backend.
  virtual std::size_t connection_share(const BackendId& backend) const = 0;
  /// @p backend told its load with an answer.
  virtual void on_load(const BackendId& backend, const routing::LoadReport& report) = 0;
};

}  // namespace madderdeck::forwarding
