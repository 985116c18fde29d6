#pragma once
/// @file How a node speaks with what is outside the fleet. The program's own interface is one
/// integration; an adapter for another platform is another.

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

/// Connections to back ends. The returned objects live as long as this one.
class BackendConnections {
 public:
  virtual ~BackendConnections() = default;
  virtual routing::BackendClient& client() = 0;
  /// @return null where no requests are passed on.
  virtual forwarding::Upstream* upstream() = 0;
  /// Called once, before any call is started.
  virtual void attach(forwarding::BackendDirectory& directory) = 0;
};

/// Answers callers and operators.
class CallerInterface {
 public:
  virtual ~CallerInterface() = default;
  virtual void handle(const gateway::ExchangePointer& exchange) = 0;
  /// @return the response to a request that the server itself refuses.
  virtual net::HttpResponse refusal(const Error& error) const = 0;
  /// @return the answer to a request that its head alone shows to be refused; nothing for all others.
  virtual std::optional<net::HttpResponse> answer_head(const net::HttpRequest& /*request*/) const {
    return std::nullopt;
  }
  /// @return whether the request's body is taken piece by piece.
  virtual bool streams_body(const net::HttpRequest& request) const = 0;
};

/// Makes the parts that know the outside.
class Integration {
 public:
  virtual ~Integration() = default;
  virtual std::unique_ptr<object_store::PlatformClient> make_platform(net::HttpClient& client,
                                                                      const config::Settings& settings) = 0;
  virtual std::unique_ptr<BackendConnections> make_backends(net::HttpClient& client, Counters& counters) = 0;
  virtual std::unique_ptr<CallerInterface> make_api(gateway::ApiContext& context) = 0;
};

/// @return the program's own interface.
std::unique_ptr<Integration> own_integration();

}  // namespace madderdeck::node
