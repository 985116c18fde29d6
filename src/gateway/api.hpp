#pragma once
/// @file The HTTP API of a node: callers under /v1, operators under /admin, health and metrics.

#include <functional>
#include <memory>
#include <string>

#include "net/http_server.hpp"
#include "node/node_core.hpp"

namespace madderdeck::gateway {

using ExchangePointer = std::shared_ptr<net::Exchange>;

/// What the handlers share.
struct ApiContext {
  node::NodeCore& core;
  std::string operator_key;  ///< Empty: operators need no key.
  std::function<void()> begin_drain;
  bool drain_started = false;
};

/// Sends each request to its handler.
class Api {
 public:
  explicit Api(ApiContext& context) : context_(context) {}

  void handle(const ExchangePointer& exchange);
  /// @return whether the request's body is taken piece by piece (job submissions).
  static bool streams_body(const net::HttpRequest& request);

 private:
  void handle_caller(const ExchangePointer& exchange);
  void handle_work(const ExchangePointer& exchange, const std::shared_ptr<const config::Tenant>& tenant);
  void handle_operator(const ExchangePointer& exchange);

  ApiContext& context_;
};

/// Answers health, readiness and metrics, for which no key is needed.
/// @return whether the path was one of theirs; otherwise nothing has been answered.
bool answer_probe(ApiContext& context, const ExchangePointer& exchange);
/// As above; any other path is not found.
void handle_probe(ApiContext& context, const ExchangePointer& exchange);

/// Handlers, one file each.
void handle_completion(ApiContext& context, const ExchangePointer& exchange,
                       const std::shared_ptr<const config::Tenant>& tenant, bool chat);
void handle_models(ApiContext& context, const ExchangePointer& exchange);
void handle_service(ApiContext& context, const ExchangePointer& exchange,
                    const std::shared_ptr<const config::Tenant>& tenant, const std::string& template_name);
void handle_batches(ApiContext& context, const ExchangePointer& exchange,
                    const std::shared_ptr<const config::Tenant>& tenant);
void handle_objects(ApiContext& context, const ExchangePointer& exchange);
void handle_status(ApiContext& context, const ExchangePointer& exchange);
void handle_metrics(ApiContext& context, const ExchangePointer& exchange);

}  // namespace madderdeck::gateway
