#pragma once
/// @file What the emulated servers share: environment, JSON answers, registering.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <random>

#include "common/environment.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace madderdeck::emulator {

/// Clock and timers for emulated systems; they have no peers.
class ServerEnvironment : public Environment {
 public:
  explicit ServerEnvironment(boost::asio::io_context& context) : context_(context) {}
  Timestamp now() const override;
  std::uint64_t unix_milliseconds() const override;
  std::uint64_t random() override { return generator_(); }
  void send(const PeerAddress&, wire::MessageUnion) override {}
  void after(Duration delay, std::function<void()> task) override;

 private:
  boost::asio::io_context& context_;
  std::mt19937_64 generator_{std::random_device{}()};
};

using ExchangePointer = std::shared_ptr<net::Exchange>;

void respond_json(const ExchangePointer& exchange, unsigned status, const boost::json::value& value);
/// Answers that the request certainly did not run.
void respond_not_run(const ExchangePointer& exchange, unsigned status, const std::string& reason);
net::ServerOptions server_options();
/// @return the JSON object of the body, an empty one when there is none.
boost::json::object json_body(const net::HttpRequest& request);
std::uint64_t number_field(const boost::json::object& fields, const char* name, std::uint64_t fallback);
bool bool_field(const boost::json::object& fields, const char* name, bool fallback);
std::string text_field(const boost::json::object& fields, const char* name);

/// Puts a machine on the platform's list, again and again until it is there.
void register_machine(net::HttpClient& client, Environment& environment, const std::string& platform,
                      const std::string& name, const boost::json::object& body);

}  // namespace madderdeck::emulator
