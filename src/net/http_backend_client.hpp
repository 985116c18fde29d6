#pragma once
/// @file Client for engines and services over HTTP. Only this client knows their protocol; see
/// docs/design/outside-systems.md.

#include <map>
#include <memory>
#include <optional>

#include "common/counters.hpp"
#include "net/http_client.hpp"
#include "routing/backend.hpp"

namespace madderdeck::net {

/// Single threaded, on the client's io_context.
class HttpBackendClient : public routing::BackendClient {
 public:
  HttpBackendClient(HttpClient& client, Counters& counters) : client_(client), counters_(counters) {}

  routing::CallId start(const BackendId& engine, const routing::EngineCall& call,
                        routing::EngineEvents events) override;
  routing::CallId start(const BackendId& service, const routing::ServiceCall& call,
                        routing::ServiceEvents events) override;
  void cancel(routing::CallId call) override { client_.cancel(call); }
  void pause(routing::CallId call) override { client_.pause(call); }
  void resume(routing::CallId call) override { client_.resume(call); }

  void fetch_load(const BackendId& backend, routing::ReportDone done) override;
  void check_reachable(const BackendId& backend, routing::ReachabilityDone done) override {
    client_.probe(backend.str(), kReachTimeout, std::move(done));
  }
  /// A reply from another zone takes a few milliseconds.
  static constexpr std::chrono::milliseconds kReachTimeout{250};

 private:
  HttpClient& client_;
  Counters& counters_;
};

}  // namespace madderdeck::net
