/// @file An application service over HTTP (slot service, turn-state engine), with a journal of
/// what truly ran.

#include <fstream>

#include "emulator/server_support.hpp"
#include "emulator/servers.hpp"

namespace madderdeck::emulator {
namespace {

namespace json = boost::json;

class ServiceServer {
 public:
  ServiceServer(boost::asio::io_context& context, const ServiceServerOptions& options)
      : environment_(context),
        client_(context, ""),
        options_(options),
        server_(
            context, counters_, [this](const ExchangePointer& exchange) { handle(exchange); }, server_options()) {
    if (!options.journal_file.empty()) {
      journal_file_.open(options.journal_file, std::ios::app);
    }
  }

  Status listen() {
    const Status listening = server_.listen(options_.address);
    if (succeeded(listening)) {
      publish_machine("live");
    }
    return listening;
  }

 private:
  void publish_machine(const char* state) {
    register_machine(client_, environment_, options_.platform, options_.address,
                     json::object{{"target", "service"},
                                  {"pool", options_.service},
                                  {"zone", options_.zone},
                                  {"slots", options_.slots},
                                  {"state", state}});
  }

  void handle(const ExchangePointer& exchange) {
    const std::string path(exchange->request().path());
    if (path == "/v1/call/" + options_.service) {
      call(exchange);
    } else if (path == "/journal") {
      json::array runs;
      for (const json::object& run : journal_) {
        runs.push_back(run);
      }
      respond_json(exchange, 200, runs);
    } else if (path == "/load") {
      respond_json(
          exchange, 200,
          json::object{{"running_online", running_}, {"running_batch", 0}, {"waiting", 0}, {"leaving", leaving_}});
    } else if (path == "/control") {
      control(exchange);
    } else {
      respond_not_run(exchange, 404, "no such path");
    }
  }

  void call(const ExchangePointer& exchange) {
    if (leaving_ || refuse_all_) {
      respond_not_run(exchange, 503, leaving_ ? "leaving" : "refusing");
      return;
    }
    if (break_before_run_) {
      exchange->abort();
      return;
    }
    const net::HttpRequest& request = exchange->request();
    json::object run{{"key", std::string(net::find_header(request.headers, "Idempotency-Key"))},
                     {"request", std::string(net::find_header(request.headers, "X-Request-Id"))},
                     {"at_ms", environment_.unix_milliseconds()}};
    if (journal_file_.is_open()) {
      journal_file_ << json::serialize(run) << std::endl;
    }
    journal_.push_back(run);
    ++running_;
    environment_.after(options_.work_time * static_cast<Duration::rep>(slow_factor_), [this, exchange, run] {
      --running_;
      if (break_after_run_) {
        exchange->abort();
        return;
      }
      respond_json(exchange, 200, json::object{{"done", true}, {"key", run.at("key")}, {"number", journal_.size()}});
    });
  }

  void control(const ExchangePointer& exchange) {
    const json::object fields = json_body(exchange->request());
    refuse_all_ = bool_field(fields, "refuse", refuse_all_);
    break_before_run_ = bool_field(fields, "break_before_run", break_before_run_);
    break_after_run_ = bool_field(fields, "break_after_run", break_after_run_);
    slow_factor_ = number_field(fields, "slow_factor", slow_factor_);
    if (fields.contains("leaving")) {
      leaving_ = bool_field(fields, "leaving", false);
      if (bool_field(fields, "tell_platform", true)) {
        publish_machine(leaving_ ? "leaving" : "live");
      }
    }
    respond_json(exchange, 200, json::object{{"done", true}});
  }

  Counters counters_;
  ServerEnvironment environment_;
  net::HttpClient client_;
  const ServiceServerOptions& options_;
  net::HttpServer server_;
  std::vector<json::object> journal_;
  std::ofstream journal_file_;
  std::uint32_t running_ = 0;
  bool leaving_ = false;
  bool refuse_all_ = false;
  bool break_before_run_ = false;
  bool break_after_run_ = false;
  std::uint64_t slow_factor_ = 1;
};

}  // namespace

Status serve_service(const ServiceServerOptions& options) {
  boost::asio::io_context context(1);
  ServiceServer server(context, options);
  const Status listening = server.listen();
  if (!succeeded(listening)) {
    return listening;
  }
  context.run();
  return Ok{};
}

}  // namespace madderdeck::emulator
