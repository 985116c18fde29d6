#include "gateway/api.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include "gateway/problem.hpp"

namespace madderdeck::gateway {
namespace {

constexpr char kServicePrefix[] = "/v1/services/";
constexpr char kBatchPrefix[] = "/v1/batches";
constexpr char kObjectPrefix[] = "/admin/objects";
constexpr std::string_view kBearer = "Bearer ";
constexpr Duration kStoppingComeback = 500ms;  ///< After which a caller of a stopping node is to come back elsewhere.

std::string bearer_key(const net::HttpRequest& request) {
  const std::string_view value = net::find_header(request.headers, "Authorization");
  return value.starts_with(kBearer) ? std::string(value.substr(kBearer.size())) : std::string();
}

}  // namespace

bool answer_probe(ApiContext& context, const ExchangePointer& exchange) {
  const std::string_view path = exchange->request().path();
  if (path == "/healthz") {
    exchange->respond({200, "text/plain", {}, "alive\n"});
  } else if (path == "/readyz") {
    const bool ready = context.core.ready() && !context.drain_started;
    exchange->respond({ready ? 200U : 503U, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
  } else if (path == "/metrics") {
    handle_metrics(context, exchange);
  } else {
    return false;
  }
  return true;
}

void handle_probe(ApiContext& context, const ExchangePointer& exchange) {
  if (!answer_probe(context, exchange)) {
    exchange->respond(problem(Error{ErrorKind::not_found, "no such path"}));
  }
}

bool Api::streams_body(const net::HttpRequest& request) {
  return request.method == "POST" && request.path() == kBatchPrefix;
}

void Api::handle(const ExchangePointer& exchange) {
  if (answer_probe(context_, exchange)) {
    return;
  }
  const std::string_view path = exchange->request().path();
  if (path.starts_with("/admin/")) {
    handle_operator(exchange);
  } else {
    handle_caller(exchange);
  }
}

void Api::handle_caller(const ExchangePointer& exchange) {
  const net::HttpRequest& request = exchange->request();
  const std::string path(request.path());
  const auto tenant = context_.core.catalog.tenant_by_key(bearer_key(request));
  if (!tenant) {
    if (context_.core.objects.table().revision() == 0) {
      exchange->respond(problem(
          routing::Refusal{{ErrorKind::unavailable, "this node has no configuration yet"}, routing::Ran::no, 1s}));
      return;
    }
    exchange->respond(problem(Error{ErrorKind::unauthenticated, "the bearer key belongs to no tenant"}));
    return;
  }
  const bool is_work = request.method == "POST" && !path.ends_with("/cancel");
  if (!is_work) {
    handle_work(exchange, tenant);
    return;
  }
  const tenancy::configured_rate rate{
      tenant->name, context_.core.objects.table().revision(), {tenant->requests_per_second, tenant->burst}};
  context_.core.limiter.admit("", rate, [this, exchange, tenant](const tenancy::rate_decision& decision) {
    if (decision.let_in) {
      handle_work(exchange, tenant);
      return;
    }
    exchange->respond(problem(routing::Refusal{
        {ErrorKind::limit_exceeded, "the tenant's rate limit is exceeded"}, routing::Ran::no, decision.retry_after}));
  });
}

void Api::handle_work(const ExchangePointer& exchange, const std::shared_ptr<const config::Tenant>& tenant) {
  const net::HttpRequest& request = exchange->request();
  const std::string path(request.path());
  if (request.method == "POST" && !context_.core.takes_work()) {
    context_.core.counters["requests_refused_stopping_total"]++;
    exchange->respond(problem(
        routing::Refusal{{ErrorKind::unavailable, "this node is stopping"}, routing::Ran::no, kStoppingComeback}));
    return;
  }
  if (request.method == "POST" && path == "/v1/chat/completions") {
    handle_completion(context_, exchange, tenant, true);
  } else if (request.method == "POST" && path == "/v1/completions") {
    handle_completion(context_, exchange, tenant, false);
  } else if (request.method == "GET" && path == "/v1/models") {
    handle_models(context_, exchange);
  } else if (request.method == "POST" && path.starts_with(kServicePrefix)) {
    handle_service(context_, exchange, tenant, path.substr(sizeof kServicePrefix - 1));
  } else if (path.starts_with(kBatchPrefix)) {
    handle_batches(context_, exchange, tenant);
  } else {
    exchange->respond(problem(Error{ErrorKind::not_found, "no such path: " + request.method + " " + path}));
  }
}

void Api::handle_operator(const ExchangePointer& exchange) {
  const net::HttpRequest& request = exchange->request();
  if (!context_.operator_key.empty() && bearer_key(request) != context_.operator_key) {
    exchange->respond(problem(Error{ErrorKind::unauthenticated, "the operator key is required"}));
    return;
  }
  const std::string_view path = request.path();
  if (path.starts_with(kObjectPrefix)) {
    handle_objects(context_, exchange);
  } else if (request.method == "GET" && path == "/admin/status") {
    handle_status(context_, exchange);
  } else if (request.method == "POST" && path == "/admin/drain") {
    exchange->respond({202, "application/json", {}, "{\"draining\":true}"});
    context_.begin_drain();
  } else {
    exchange->respond(problem(Error{ErrorKind::not_found, "no such path"}));
  }
}

void handle_metrics(ApiContext& context, const ExchangePointer& exchange) {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& [name, value] : context.core.counters.values()) {
    const bool is_counter = name.ends_with("_total");
    prometheus::MetricFamily family;
    family.name = "madderdeck_" + name;
    family.type = is_counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    metric.gauge.value = static_cast<double>(value);
    family.metric.push_back(metric);
    families.push_back(std::move(family));
  }
  exchange->respond({200, "text/plain; version=0.0.4", {}, prometheus::TextSerializer().Serialize(families)});
}

}  // namespace madderdeck::gateway
