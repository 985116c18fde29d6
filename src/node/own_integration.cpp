#include "gateway/problem.hpp"
#include "net/http_backend_client.hpp"
#include "net/http_platform_client.hpp"
#include "node/integration.hpp"

namespace madderdeck::node {
namespace {

constexpr Duration kRoomComeback = 500ms;  ///< After which a caller is to come back for whom there was no memory.

class OwnBackends : public BackendConnections {
 public:
  OwnBackends(net::HttpClient& client, Counters& counters) : client_(client, counters) {}
  routing::BackendClient& client() override { return client_; }
  forwarding::Upstream* upstream() override { return nullptr; }
  void attach(forwarding::BackendDirectory&) override {}

 private:
  net::HttpBackendClient client_;
};

class OwnApi : public CallerInterface {
 public:
  explicit OwnApi(gateway::ApiContext& context) : api_(context) {}
  void handle(const gateway::ExchangePointer& exchange) override { api_.handle(exchange); }
  net::HttpResponse refusal(const Error& error) const override {
    const bool is_temporary = error.kind == ErrorKind::unavailable;
    return gateway::problem(routing::Refusal{error, routing::Ran::no, is_temporary ? kRoomComeback : Duration::zero()});
  }
  bool streams_body(const net::HttpRequest& request) const override { return gateway::Api::streams_body(request); }

 private:
  gateway::Api api_;
};

class OwnIntegration : public Integration {
 public:
  std::unique_ptr<object_store::PlatformClient> make_platform(net::HttpClient& client,
                                                              const config::Settings& settings) override {
    return std::make_unique<net::HttpPlatformClient>(client, settings.platform_endpoint);
  }
  std::unique_ptr<BackendConnections> make_backends(net::HttpClient& client, Counters& counters) override {
    return std::make_unique<OwnBackends>(client, counters);
  }
  std::unique_ptr<CallerInterface> make_api(gateway::ApiContext& context) override {
    return std::make_unique<OwnApi>(context);
  }
};

}  // namespace

std::unique_ptr<Integration> own_integration() { return std::make_unique<OwnIntegration>(); }

}  // namespace madderdeck::node
