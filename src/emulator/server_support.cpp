#include "emulator/server_support.hpp"

namespace madderdeck::emulator {

namespace json = boost::json;

Timestamp ServerEnvironment::now() const {
  return std::chrono::duration_cast<Timestamp>(std::chrono::steady_clock::now().time_since_epoch());
}

std::uint64_t ServerEnvironment::unix_milliseconds() const {
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / 1ms);
}

void ServerEnvironment::after(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([timer, task = std::move(task)](boost::system::error_code failure) {
    if (!failure) {
      task();
    }
  });
}

void respond_json(const ExchangePointer& exchange, unsigned status, const json::value& value) {
  exchange->respond({status, "application/json", {}, json::serialize(value)});
}

void respond_not_run(const ExchangePointer& exchange, unsigned status, const std::string& reason) {
  respond_json(exchange, status, json::object{{"ran", "no"}, {"reason", reason}});
}

net::ServerOptions server_options() {
  net::ServerOptions options;
  options.refusal = [](const Error& error) { return net::HttpResponse{400, "text/plain", {}, error.detail}; };
  return options;
}

json::object json_body(const net::HttpRequest& request) {
  boost::system::error_code failure;
  const json::value value = json::parse(request.body, failure);
  return value.is_object() && !failure ? value.as_object() : json::object();
}

std::uint64_t number_field(const json::object& fields, const char* name, std::uint64_t fallback) {
  const json::value* field = fields.if_contains(name);
  return field != nullptr && field->is_int64() ? static_cast<std::uint64_t>(field->as_int64()) : fallback;
}

bool bool_field(const json::object& fields, const char* name, bool fallback) {
  const json::value* field = fields.if_contains(name);
  return field != nullptr && field->is_bool() ? field->as_bool() : fallback;
}

std::string text_field(const json::object& fields, const char* name) {
  const json::value* field = fields.if_contains(name);
  return field != nullptr && field->is_string() ? std::string(field->as_string()) : std::string();
}

void register_machine(net::HttpClient& client, Environment& environment, const std::string& platform,
                      const std::string& name, const json::object& body) {
  if (platform.empty()) {
    return;
  }
  net::HttpRequest request;
  request.method = "PUT";
  request.target = "/control/machines/" + name;
  request.body = json::serialize(body);
  client.fetch(
      platform, std::move(request),
      [&client, &environment, platform, name, body](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
        const auto* response = std::get_if<net::SimpleResponse>(&result);
        if (response == nullptr || response->status != 200) {
          constexpr Duration kRetry = 300ms;
          environment.after(kRetry, [&client, &environment, platform, name, body] {
            register_machine(client, environment, platform, name, body);
          });
        }
      });
}

}  // namespace madderdeck::emulator
