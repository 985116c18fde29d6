#pragma once
/// @file The HTTP API of a node: for callers under /v1, for operators under /admin, and health and metrics endpoints.

#include <functional>
#include <memory>
#include <string>

#include "net/http_server.hpp"
#include "node/node_core.hpp"

namespace madderdeck::gateway {

using ExchangePointer = std::shared_ptr<net::Exchange>;

/// State shared by the handlers.
struct ApiContext {
  node::NodeCore& core;
  std::string operator_key;  ///< Empty: operators need no key.
  std::function<void()> begin_drain;
  bool drain_started = false;
};

/// Dispatches each request to its handler.
class Api {
 public:
  explicit Api(ApiContext& context) : context_(context) {}

  void handle(const ExchangePointer& exchange);
  /// @return whether the request's body is read piece by piece (job submissions).
  static bool streams_body(const net::HttpRequest& request);

 private:
  void handle_caller(const ExchangePointer& exchange);
  void handle_work(const ExchangePointer& exchange, const std::shared_ptr<const config::Tenant>& tenant);
  void handle_operator(const ExchangePointer& exchange);

  ApiContext& context_;
};

/// Answers health, readiness and metrics, for which no key is needed.
/// @return whether @p exchange was answered, which is the case for the paths of these endpoints only.
bool answer_probe(ApiContext& context, const ExchangePointer& exchange);
/// As answer_probe(), but answers any other path with not_found.
void handle_probe(ApiContext& context, const ExchangePointer& exchange);

/// Handlers of single endpoints.
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
