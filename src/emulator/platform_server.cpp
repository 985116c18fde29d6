/// @file The platform over HTTP: objects, machine list, weight store, and its own faults.

#include <fstream>

#include "emulator/platform_model.hpp"
#include "emulator/server_support.hpp"
#include "emulator/servers.hpp"

namespace madderdeck::emulator {
namespace {

namespace json = boost::json;

json::object describe(const config::Entry& entry) {
  return json::object{{"kind", entry.key.kind},
                      {"name", entry.key.name},
                      {"body", entry.body},
                      {"revision", entry.revision},
                      {"deleted", entry.deleted}};
}

std::uint64_t query_number(const net::HttpRequest& request, const char* name) {
  const std::string text = request.query(name);
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

class PlatformServer {
 public:
  PlatformServer(boost::asio::io_context& context, const PlatformServerOptions& options)
      : environment_(context),
        options_(options),
        objects_(environment_),
        machines_(environment_),
        weights_(environment_, options.weight_bytes_per_second),
        server_(
            context, counters_, [this](const ExchangePointer& exchange) { receive(exchange); }, server_options()) {
    restore();
  }

  Status listen() { return server_.listen(options_.address); }

 private:
  /// Objects outlive a restart where a state file is given.
  void restore() {
    std::ifstream file(options_.state_file);
    for (std::string line; std::getline(file, line);) {
      const json::object fields = json::parse(line).as_object();
      objects_.store(config::Entry{{text_field(fields, "kind"), text_field(fields, "name")},
                                   text_field(fields, "body"),
                                   0,
                                   bool_field(fields, "deleted", false)},
                     text_field(fields, "change_id"), Duration::zero());
    }
    if (!options_.state_file.empty()) {
      state_.open(options_.state_file, std::ios::app);
    }
  }

  void receive(const ExchangePointer& exchange) {
    const std::string path(exchange->request().path());
    if (path.starts_with("/control/")) {
      control(exchange, path);
      return;
    }
    if (down_) {
      exchange->abort();
      return;
    }
    if (slow_.count() > 0) {
      environment_.after(slow_, [this, exchange, path] { handle(exchange, path); });
    } else {
      handle(exchange, path);
    }
  }

  void handle(const ExchangePointer& exchange, const std::string& path) {
    const std::string& method = exchange->request().method;
    if (path == "/objects" || path == "/machines") {
      watch(exchange, path == "/objects" ? objects_ : machines_);
    } else if (path.starts_with("/objects/") && method == "GET") {
      get_object(exchange, key_of(path));
    } else if (path.starts_with("/objects/")) {
      put_object(exchange, key_of(path), method == "DELETE");
    } else if (path.starts_with("/weights/")) {
      const Duration wait = weights_.reserve(query_number(exchange->request(), "bytes"));
      if (wait.count() > 0) {
        exchange->respond(
            {429, "application/json", {{"Retry-After", std::to_string(wait / 1s + 1)}}, "{\"ran\":\"no\"}"});
      } else {
        respond_json(exchange, 200, json::object{{"granted", true}});
      }
    } else {
      respond_not_run(exchange, 404, "no such path");
    }
  }

  static config::EntryKey key_of(const std::string& path) {
    const std::string rest = path.substr(sizeof("/objects/") - 1);
    const std::size_t slash = rest.find('/');
    return {rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1)};
  }

  void watch(const ExchangePointer& exchange, WatchedTable& table) {
    if (table.watchers() >= options_.max_watchers) {
      respond_not_run(exchange, 429, "too many watchers");
      return;
    }
    const Duration wait = std::chrono::milliseconds(query_number(exchange->request(), "wait_ms"));
    table.watch(query_number(exchange->request(), "since"), wait, [exchange](const object_store::ChangeList& changes) {
      json::array entries;
      for (const config::Entry& entry : changes.entries) {
        entries.push_back(describe(entry));
      }
      respond_json(exchange, 200,
                   json::object{{"since", changes.since}, {"up_to", changes.up_to}, {"entries", std::move(entries)}});
    });
  }

  void get_object(const ExchangePointer& exchange, const config::EntryKey& key) {
    const object_store::StoredObject* found = objects_.find(key);
    if (found == nullptr) {
      respond_json(exchange, 404, json::object{});
      return;
    }
    json::object answer = describe(found->entry);
    answer["change_id"] = found->change_id;
    respond_json(exchange, 200, answer);
  }

  void put_object(const ExchangePointer& exchange, const config::EntryKey& key, bool remove) {
    object_store::PutRequest put;
    put.key = key;
    put.body = exchange->request().body;
    put.remove = remove;
    put.expected_revision = query_number(exchange->request(), "expected");
    put.change_id = exchange->request().query("change_id");
    const Result<std::uint64_t> result = compare_and_set(objects_, put);
    if (!succeeded(result)) {
      respond_json(exchange, 409, json::value(error_of(result).detail));
      return;
    }
    if (state_.is_open()) {
      json::object line = describe(objects_.find(key)->entry);
      line["change_id"] = put.change_id;
      state_ << json::serialize(line) << std::endl;
    }
    if (lose_answers_ > 0) {
      --lose_answers_;
      exchange->abort();
      return;
    }
    respond_json(exchange, 200, json::object{{"revision", value_of(result)}});
  }

  void control(const ExchangePointer& exchange, const std::string& path) {
    constexpr char kMachines[] = "/control/machines/";
    if (path.starts_with(kMachines)) {
      const std::string name = path.substr(sizeof kMachines - 1);
      const bool remove = exchange->request().method == "DELETE";
      machines_.store(config::Entry{{"machine", name}, exchange->request().body, 0, remove}, "", options_.machine_lag);
      respond_json(exchange, 200, json::object{{"done", true}});
      return;
    }
    const json::object fields = json_body(exchange->request());
    down_ = bool_field(fields, "down", down_);
    slow_ = std::chrono::milliseconds(number_field(fields, "slow_ms", static_cast<std::uint64_t>(slow_ / 1ms)));
    lose_answers_ = number_field(fields, "lose_answers", lose_answers_);
    respond_json(exchange, 200, json::object{{"done", true}});
  }

  Counters counters_;
  ServerEnvironment environment_;
  const PlatformServerOptions& options_;
  WatchedTable objects_;
  WatchedTable machines_;
  WeightStore weights_;
  net::HttpServer server_;
  std::ofstream state_;
  bool down_ = false;
  Duration slow_{};
  std::uint64_t lose_answers_ = 0;
};

}  // namespace

Status serve_platform(const PlatformServerOptions& options) {
  boost::asio::io_context context(1);
  PlatformServer server(context, options);
  const Status listening = server.listen();
  if (!succeeded(listening)) {
    return listening;
  }
  context.run();
  return Ok{};
}

}  // namespace madderdeck::emulator
