/// Clients and servers while the process has no descriptor left.
#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "bench/http_session.hpp"
#include "net/http_server.hpp"

using namespace madderdeck;
using namespace madderdeck::net;

namespace {

constexpr char kAddress[] = "127.73.6.2:9371";

/// Takes all descriptors that the process may have, until its end.
class no_descriptors {
 public:
  no_descriptors() {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    rlimit few = before_;
    few.rlim_cur = std::min<rlim_t>(before_.rlim_cur, kFew);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &few) == 0);
    for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) {
      taken_.push_back(fd);
    }
  }
  ~no_descriptors() {
    give_back();
    ::setrlimit(RLIMIT_NOFILE, &before_);
  }
  no_descriptors(const no_descriptors&) = delete;
  no_descriptors& operator=(const no_descriptors&) = delete;
  void give_back() {
    for (const int fd : taken_) {
      ::close(fd);
    }
    taken_.clear();
  }
  /// Gives one back.
  void spare() {
    REQUIRE_FALSE(taken_.empty());
    ::close(taken_.back());
    taken_.pop_back();
  }

 private:
  static constexpr rlim_t kFew = 256;
  rlimit before_{};
  std::vector<int> taken_;
};

}  // namespace

// Guards against a process that ends, or a call that never does, since no connection can be opened.
TEST_CASE("a call without a descriptor for it fails as not sent, and the next one succeeds") {
  bench::HttpSession http;
  Counters counters;
  HttpServer server(http.context, counters,
                    [](const std::shared_ptr<Exchange>& exchange) {
                      exchange->respond({200, "text/plain", {}, "ok"});
                    },
                    {});
  REQUIRE(succeeded(server.listen(kAddress)));
  std::optional<std::variant<SimpleResponse, CallBreak>> result;
  std::optional<routing::reachability> reached;
  {
    const no_descriptors none;
    http.client.fetch(kAddress, {"GET", "/", {}, ""}, [&result](auto outcome) { result = std::move(outcome); });
    http.client.probe(kAddress, std::chrono::milliseconds(500), [&reached](auto outcome) { reached = outcome; });
    REQUIRE(http.run_until([&] { return result && reached; }, std::chrono::milliseconds(5'000)));
  }
  REQUIRE(std::holds_alternative<CallBreak>(*result));
  CHECK(std::get<CallBreak>(*result) == CallBreak::connect_failed);
  CHECK(*reached == routing::reachability::silent);
  const auto response = http.call(kAddress, "GET", "/");
  REQUIRE(response);
  CHECK(response->status == 200);
}

TEST_CASE("a connection that came while no descriptor was left is served once there is one") {
  bench::HttpSession http;
  Counters counters;
  HttpServer server(http.context, counters,
                    [](const std::shared_ptr<Exchange>& exchange) {
                      exchange->respond({200, "text/plain", {}, "ok"});
                    },
                    {});
  REQUIRE(succeeded(server.listen(kAddress)));
  no_descriptors none;
  none.spare();  // for the caller's own
  std::optional<std::variant<SimpleResponse, CallBreak>> result;
  http.client.fetch(kAddress, {"GET", "/", {}, ""}, [&result](auto outcome) { result = std::move(outcome); });
  http.run_for(std::chrono::milliseconds(300));
  CHECK_FALSE(result);
  none.give_back();
  REQUIRE(http.run_until([&result] { return result.has_value(); }, std::chrono::milliseconds(5'000)));
  REQUIRE(std::holds_alternative<SimpleResponse>(*result));
}
