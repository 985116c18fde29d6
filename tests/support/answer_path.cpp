#include "support/answer_path.hpp"

#include <catch2/catch.hpp>

#include "forwarding/route_table.hpp"
#include "names.hpp"

namespace madderdeck::tests {
namespace {

constexpr char kIp[] = "127.91.3.1";
constexpr unsigned short kFirstEnginePort = 9321;
constexpr unsigned kEngines = 2;
/// Max time that a caller waits in a test; not a limit that the product guarantees.
constexpr std::chrono::seconds kTestTimeout{10};

node::NodeOptions node_options() {
  node::NodeOptions options;
  options.self.id = "n1";
  options.self.peer_address = "127.91.3.1:1";
  options.self.zone = "z";
  options.self.roles = static_cast<std::uint32_t>(membership::Role::gateway);
  options.guards.registry.need_fresh_reports = false;
  return options;
}

}  // namespace

bool is_stream(answer_kind kind) { return kind == answer_kind::stream || kind == answer_kind::resumable_stream; }
bool may_retry_elsewhere(answer_kind kind) {
  return kind == answer_kind::resumable_stream || kind == answer_kind::repeatable;
}
const char* name_of(answer_kind kind) {
  switch (kind) {
    case answer_kind::stream:
      return "stream";
    case answer_kind::resumable_stream:
      return "resumable_stream";
    case answer_kind::repeatable:
      return "repeatable";
    case answer_kind::unrepeatable:
      break;
  }
  return "unrepeatable";
}

std::string value_after(const std::string& head, const std::string& name) {
  const std::size_t start = head.find("\r\n" + name + ": ");
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

answer_path::answer_path(raw_engine::answers answer)
    : answer_(std::move(answer)),
      core_({environment_, counters_, nullptr, engine_client_, store_, log_, &engine_client_}, node_options()) {
  for (unsigned number = 0; number < kEngines; ++number) {
    engines_.push_back(std::make_unique<raw_engine>(context, kIp, kFirstEnginePort + number,
                                                    [this](const std::string& head) { return answer_to(head); }));
  }
  engine_client_.attach(core_);
  core_.start();
  configure();
  net::ServerOptions options;
  options.refusal = [this](const Error& error) { return ingress_.refusal(error); };
  server_ = std::make_unique<net::HttpServer>(
      context, counters_, [this](const std::shared_ptr<net::Exchange>& exchange) { ingress_.handle(exchange); },
      options);
  REQUIRE(succeeded(server_->listen(kEntry)));
}

raw_answer answer_path::answer_to(const std::string& request_head) {
  if (request_head.starts_with(std::string("GET ") + users_platform::path::kReport)) {
    return {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", connection_ending::kept};
  }
  return answer_(request_head);
}

void answer_path::let_engines_leave() { list_engines(2, true); }

void answer_path::configure() {
  forwarding::RouteTable table;
  table.version = 1;
  for (const answer_kind kind : kKinds) {
    forwarding::Route route;
    route.name = name_of(kind);
    route.host = "h";
    route.path_prefix = std::string("/") + name_of(kind) + "/";
    route.pools.push_back({"p", 1});
    route.kind = is_stream(kind) ? forwarding::RouteKind::stream
                                 : (may_retry_elsewhere(kind) ? forwarding::RouteKind::repeatable
                                                              : forwarding::RouteKind::unrepeatable);
    route.resumable = kind == answer_kind::resumable_stream;
    route.max_attempts = 3;
    route.timeout_ms = 250;
    table.routes.push_back(route);
  }
  core_.objects.apply_from_source(core_.objects.table().revision(), core_.objects.table().revision() + 1,
                                  {{{forwarding::kRouteTableKind, "main"},
                                    forwarding::format_route_table(table),
                                    core_.objects.table().revision() + 1}});
  list_engines(1, false);
}

void answer_path::list_engines(std::uint64_t revision, bool leaving) {
  std::vector<config::Entry> machines;
  for (unsigned number = 0; number < kEngines; ++number) {
    config::Machine machine;
    machine.id = BackendId("e" + std::to_string(number));
    machine.address = std::string(kIp) + ":" + std::to_string(kFirstEnginePort + number);
    machine.pools = {"p"};
    machine.zone = "z";
    machine.slots = 64;
    machine.leaving = leaving;
    machines.push_back({{config::kMachineKind, machine.id.str()}, config::format_machine(machine), revision});
  }
  core_.machines.apply_from_source(revision - 1, revision, machines);
}

caller_answer answer_path::call(const std::string& bytes) {
  const auto answer = call_raw(context, kEntry, bytes);
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (!answer->ended && std::chrono::steady_clock::now() < until) {
    context.run_one_for(std::chrono::milliseconds(100));
  }
  return *answer;
}

std::shared_ptr<const item_outcome> answer_path::run_item(const std::string& body, std::uint32_t resume_from) {
  auto outcome = std::make_shared<item_outcome>();
  auto request = std::make_shared<routing::HttpItemCall>();
  request->id = "i1";
  request->method = "POST";
  request->target = "/a/1";
  request->host = "h";
  request->body = body;
  routing::EngineCall call;
  call.http = request;
  call.resume_from = resume_from;
  routing::EngineEvents events;
  events.token = [outcome](std::uint32_t, std::string_view text) { outcome->events.emplace_back(text); };
  events.finished = [outcome](std::uint32_t total) { outcome->finished_at = total; };
  events.failed = [outcome](routing::CallFailure failure) { outcome->failure = failure; };
  engine_client_.start(BackendId("e0"), call, std::move(events));
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (!outcome->ended() && std::chrono::steady_clock::now() < until) {
    context.run_one_for(std::chrono::milliseconds(100));
  }
  return outcome;
}

}  // namespace madderdeck::tests
