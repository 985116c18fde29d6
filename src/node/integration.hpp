#pragma once
/// @file Interfaces between a node and systems outside the fleet. The program's native interface is one
/// implementation; an adapter for another platform is another.

#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "forwarding/backend_directory.hpp"
#include "forwarding/upstream.hpp"
#include "gateway/api.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::node {

/// Connections to back ends. The returned objects have the lifetime of this object.
class BackendConnections {
 public:
  virtual ~BackendConnections() = default;
  virtual routing::BackendClient& client() = 0;
  /// @return null if no requests are forwarded.
  virtual forwarding::Upstream* upstream() = 0;
  /// Sets the directory of back ends. Called once, before any call starts.
  virtual void attach(forwarding::BackendDirectory& directory) = 0;
};

/// Handles the requests of callers and operators.
class CallerInterface {
 public:
  virtual ~CallerInterface() = default;
  virtual void handle(const gateway::ExchangePointer& exchange) = 0;
  /// @return the response to a request that the HTTP server itself rejects; with a retry delay for
  ///         ErrorKind::unavailable, which means that nothing was run.
  virtual net::HttpResponse refusal(const Error& error) const = 0;
  /// @return the response to a request that is rejected because of its head, before its body is read; nullopt for all
  ///         other requests.
  virtual std::optional<net::HttpResponse> answer_head(const net::HttpRequest& /*request*/) const {
    return std::nullopt;
  }
  /// @return what the body of @p request counts as in the memory budget.
  virtual memory_holder holder_of(const net::HttpRequest& /*request*/) const { return memory_holder::live_bodies; }
  /// @return whether the body of @p request is processed in chunks as it arrives.
  virtual bool streams_body(const net::HttpRequest& request) const = 0;
};

/// Factory of the parts of a node that depend on systems outside the fleet.
class Integration {
 public:
  virtual ~Integration() = default;
  virtual std::unique_ptr<object_store::PlatformClient> make_platform(net::HttpClient& client,
                                                                      const config::Settings& settings) = 0;
  virtual std::unique_ptr<BackendConnections> make_backends(net::HttpClient& client, Counters& counters) = 0;
  virtual std::unique_ptr<CallerInterface> make_api(gateway::ApiContext& context) = 0;
};

/// @return the integration for the program's native interface.
std::unique_ptr<Integration> own_integration();

}  // namespace madderdeck::node
