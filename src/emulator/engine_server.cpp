/// @file Engines over HTTP.

#include <sstream>

#include "emulator/server_support.hpp"
#include "emulator/servers.hpp"

namespace madderdeck::emulator {
namespace {

namespace json = boost::json;

std::set<std::string> split(const std::string& text) {
  std::set<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.insert(part);
  }
  return parts;
}

/// An engine that is to end does so this long after it has begun the prompt.
constexpr Duration kEndsAfter = 30ms;

/// Serves one engine. Faults are set with POST /control.
class EngineServer {
 public:
  EngineServer(boost::asio::io_context& context, Environment& environment, Counters& counters, net::HttpClient& client,
               const EngineServerOptions& options, std::string address)
      : environment_(environment),
        client_(client),
        options_(options),
        address_(std::move(address)),
        model_(environment, options.profile, split(options.models)),
        server_(
            context, counters, [this](const ExchangePointer& exchange) { handle(exchange); }, server_options()) {}

  Status listen() {
    const Status listening = server_.listen(address_);
    if (succeeded(listening)) {
      publish_machine("live");
    }
    return listening;
  }

 private:
  void publish_machine(const char* state) {
    register_machine(client_, environment_, options_.platform, address_,
                     json::object{{"target", "model"},
                                  {"pool", options_.models},
                                  {"zone", options_.zone},
                                  {"slots", options_.profile.slots},
                                  {"state", state}});
  }

  void handle(const ExchangePointer& exchange) {
    const std::string path(exchange->request().path());
    if (path == "/v1/completions") {
      generate(exchange);
    } else if (path == "/load") {
      const routing::LoadReport report = model_.report();
      respond_json(exchange, 200,
                   json::object{{"running_online", report.running_online},
                                {"running_batch", report.running_batch},
                                {"waiting", report.waiting},
                                {"leaving", report.leaving}});
    } else if (path == "/orders") {
      take_order(exchange);
    } else if (path == "/cache_events") {
      send_cache_events(exchange);
    } else if (path == "/kv/export" || path == "/kv/import") {
      move_blocks(exchange, path == "/kv/import");
    } else if (path == "/control") {
      control(exchange);
    } else if (path == "/totals") {
      send_totals(exchange);
    } else {
      respond_not_run(exchange, 404, "no such path");
    }
  }

  void generate(const ExchangePointer& exchange) {
    const json::object fields = json_body(exchange->request());
    Generation generation;
    generation.model = text_field(fields, "model");
    generation.prompt = text_field(fields, "prompt");
    generation.max_tokens = static_cast<std::uint32_t>(number_field(fields, "max_tokens", 0));
    generation.resume_from = static_cast<std::uint32_t>(number_field(fields, "resume_from", 0));
    const bool batch = text_field(fields, "priority") == "batch";
    generation.priority = batch ? routing::Priority::batch : routing::Priority::online;
    if (generation.max_tokens == 0 || generation.model.empty()) {
      respond_not_run(exchange, 400, "model and max_tokens are needed");
      return;
    }
    if (refuse_all_) {
      respond_not_run(exchange, 503, "refusing");
      return;
    }
    if (break_after_tokens_ == 0) {
      exchange->abort();
      return;
    }
    const bool ends = !options_.ends_on.empty() && generation.prompt.find(options_.ends_on) != std::string::npos;
    GenerationEvents events;
    auto sent = std::make_shared<std::int64_t>(0);
    events.token = [this, exchange, sent](std::uint32_t offset, const std::string& text) {
      const json::string escaped(text);
      const std::string event =
          "data: {\"offset\":" + std::to_string(offset) + ",\"text\":" + json::serialize(escaped) + "}\n\n";
      if (break_after_tokens_ >= 0 && (*sent)++ >= break_after_tokens_) {
        break_off(exchange, event);
        return;
      }
      exchange->write(event);
      if (double_tokens_) {
        exchange->write(event);
      }
    };
    events.finished = [exchange](std::uint32_t total) {
      exchange->write("data: {\"total\":" + std::to_string(total) + "}\n\ndata: [DONE]\n\n");
      exchange->finish();
    };
    const auto taken = model_.submit(std::move(generation), std::move(events));
    if (const auto* refusal = std::get_if<EngineRefusal>(&taken)) {
      const char* reason = *refusal == EngineRefusal::leaving ? "leaving" : "busy or model not loaded";
      respond_not_run(exchange, *refusal == EngineRefusal::model_not_loaded ? 404 : 503, reason);
      return;
    }
    if (ends) {
      environment_.after(kEndsAfter, [] { std::_Exit(1); });
    }
    if (unframed_) {
      exchange->end_with_connection();
    }
    exchange->start_stream(200, "text/event-stream", {});
    exchange->on_caller_gone([this, id = std::get<GenerationId>(taken)] { model_.cancel(id); });
  }

  /// Without framing, the end of the connection in the middle of @p event is the end of the answer.
  void break_off(const ExchangePointer& exchange, std::string_view event) const {
    if (!unframed_) {
      exchange->abort();
      return;
    }
    exchange->write(event.substr(0, event.size() / 2));
    exchange->finish();
  }

  void take_order(const ExchangePointer& exchange) {
    const json::object fields = json_body(exchange->request());
    EngineOrder order;
    order.fence = number_field(fields, "fence", 0);
    const std::string action = text_field(fields, "action");
    order.action = action == "unload"
                       ? EngineOrder::Action::unload
                       : (action == "set_role" ? EngineOrder::Action::set_role : EngineOrder::Action::load);
    order.model = text_field(fields, "model");
    order.version = text_field(fields, "version");
    if (model_.order(order)) {
      respond_json(exchange, 200, json::object{{"done", true}});
    } else {
      respond_json(exchange, 409, json::object{{"ran", "no"}, {"reason", "stale fence"}});
    }
  }

  void send_cache_events(const ExchangePointer& exchange) {
    const std::string since = exchange->request().query("since");
    json::array events;
    for (const CacheEvent& event : model_.cache_events(since.empty() ? 0 : std::stoull(since))) {
      events.push_back(
          json::object{{"sequence", event.sequence}, {"block", std::to_string(event.block)}, {"stored", event.stored}});
    }
    respond_json(exchange, 200, events);
  }

  void move_blocks(const ExchangePointer& exchange, bool import) {
    const json::object fields = json_body(exchange->request());
    if (!import) {
      json::array blocks;
      for (const std::uint64_t block : model_.export_blocks(number_field(fields, "generation", 0))) {
        blocks.push_back(json::value(std::to_string(block)));
      }
      respond_json(exchange, 200, json::object{{"blocks", std::move(blocks)}});
      return;
    }
    std::vector<std::uint64_t> blocks;
    if (const json::value* list = fields.if_contains("blocks"); list != nullptr && list->is_array()) {
      for (const json::value& block : list->as_array()) {
        blocks.push_back(block.is_string() ? std::stoull(std::string(block.as_string())) : 0);
      }
    }
    model_.import_blocks(blocks);
    respond_json(exchange, 200, json::object{{"imported", blocks.size()}});
  }

  void control(const ExchangePointer& exchange) {
    const json::object fields = json_body(exchange->request());
    refuse_all_ = bool_field(fields, "refuse", refuse_all_);
    double_tokens_ = bool_field(fields, "double_tokens", double_tokens_);
    unframed_ = bool_field(fields, "unframed", unframed_);
    if (const json::value* tokens = fields.if_contains("break_after_tokens"); tokens != nullptr && tokens->is_int64()) {
      break_after_tokens_ = tokens->as_int64();
    }
    if (const json::value* factor = fields.if_contains("slow_factor"); factor != nullptr && factor->is_number()) {
      model_.profile().slow_factor = factor->to_number<double>();
    }
    if (fields.contains("leaving")) {
      model_.set_leaving(bool_field(fields, "leaving", false));
      if (bool_field(fields, "tell_platform", true)) {
        publish_machine(model_.leaving() ? "leaving" : "live");
      }
    }
    respond_json(exchange, 200, json::object{{"done", true}});
  }

  void send_totals(const ExchangePointer& exchange) {
    const EngineTotals& totals = model_.totals();
    respond_json(exchange, 200,
                 json::object{{"prefill_tokens", totals.prefill_tokens},
                              {"cached_tokens", totals.cached_tokens},
                              {"decoded_tokens", totals.decoded_tokens},
                              {"preemptions", totals.preemptions},
                              {"online_steps_behind_batch", totals.online_steps_behind_batch},
                              {"running_online", model_.running(routing::Priority::online)},
                              {"running_batch", model_.running(routing::Priority::batch)}});
  }

  Environment& environment_;
  net::HttpClient& client_;
  const EngineServerOptions& options_;
  const std::string address_;
  EngineModel model_;
  net::HttpServer server_;
  bool refuse_all_ = false;
  bool double_tokens_ = false;
  std::int64_t break_after_tokens_ = -1;
  bool unframed_ = false;  ///< Streams that begin now have neither a length nor chunks.
};

}  // namespace

Status serve_engines(const EngineServerOptions& options) {
  boost::asio::io_context context(1);
  ServerEnvironment environment(context);
  Counters counters;
  net::HttpClient client(context, "");
  std::vector<std::unique_ptr<EngineServer>> engines;
  for (const std::string& address : options.addresses) {
    engines.push_back(std::make_unique<EngineServer>(context, environment, counters, client, options, address));
    const Status listening = engines.back()->listen();
    if (!succeeded(listening)) {
      return listening;
    }
  }
  context.run();
  return Ok{};
}

}  // namespace madderdeck::emulator
