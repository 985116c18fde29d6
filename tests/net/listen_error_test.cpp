/// Guards against listening sockets whose errors name the wrong cause: without a free descriptor, a later call on the
/// socket that was never opened reported "Bad file descriptor" as an invalid argument, which no retry can mend.
#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>

#include "net/http_server.hpp"
#include "node/asio_environment.hpp"

using namespace madderdeck;

namespace {

constexpr const char* kAddress = "127.71.3.1:7000";

struct fixture {
  net::HttpServer make_server() {
    return net::HttpServer(
        context, counters, [](const std::shared_ptr<net::Exchange>&) {}, net::ServerOptions{});
  }
  boost::asio::io_context context;
  Counters counters;
  net::HttpClient client{context, "127.71.3.1"};
  node::AsioEnvironment environment{context, counters, client, PeerAddress(kAddress)};
};

/// Leaves the process @p left descriptors for the lifetime of this object.
class few_descriptors {
 public:
  explicit few_descriptors(rlim_t left) {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest_free = ::dup(STDIN_FILENO);
    ::close(lowest_free);
    const rlimit few{static_cast<rlim_t>(lowest_free) + left, before_.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &few);
  }
  ~few_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  few_descriptors(const few_descriptors&) = delete;
  few_descriptors& operator=(const few_descriptors&) = delete;

 private:
  rlimit before_{};
};

ErrorKind kind_of(const Status& status) {
  REQUIRE_FALSE(succeeded(status));
  return error_of(status).kind;
}

}  // namespace

TEST_CASE("a server without a descriptor for its address is unavailable and may try again") {
  fixture parts;
  net::HttpServer server = parts.make_server();
  {
    const few_descriptors none(0);
    CHECK(kind_of(server.listen(kAddress)) == ErrorKind::unavailable);
  }
  CHECK(succeeded(server.listen(kAddress)));
}

TEST_CASE("peers without a descriptor for UDP are unavailable") {
  fixture parts;
  const few_descriptors one(1);
  CHECK(kind_of(parts.environment.listen([](const wire::Incoming&) {})) == ErrorKind::unavailable);
}

TEST_CASE("an address that this machine does not have is an invalid argument") {
  fixture parts;
  CHECK(kind_of(parts.make_server().listen("192.0.2.1:7000")) == ErrorKind::invalid_argument);
}

TEST_CASE("an address that is only bound refuses connections, and another server may listen on it first") {
  fixture parts;
  net::HttpServer server = parts.make_server();
  REQUIRE(succeeded(server.bind(kAddress)));
  boost::asio::ip::tcp::socket caller(parts.context);
  boost::system::error_code failure;
  caller.connect({boost::asio::ip::make_address("127.71.3.1"), 7000}, failure);
  CHECK(failure == boost::asio::error::connection_refused);
  net::HttpServer other = parts.make_server();
  REQUIRE(succeeded(other.listen(kAddress)));
  CHECK(kind_of(server.start_accepting()) == ErrorKind::address_in_use);
}
