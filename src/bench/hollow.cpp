#include "bench/hollow.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <memory>
#include <vector>

#include "net/http_backend_client.hpp"
#include "net/http_platform_client.hpp"
#include "node/asio_environment.hpp"
#include "node/node_core.hpp"

namespace madderdeck::bench {
namespace {

namespace json = boost::json;
constexpr unsigned kZones = 6;
constexpr unsigned kRegions = 2;
constexpr char kFarRegion[] = "region-1";

/// Environment that can fall silent, or lose the other region.
class HollowEnvironment : public node::AsioEnvironment {
 public:
  using AsioEnvironment::AsioEnvironment;
  void send(const PeerAddress& to, wire::MessageUnion message) override {
    if (!silent && (!blocked || !blocked(to))) {
      AsioEnvironment::send(to, std::move(message));
    }
  }
  bool silent = false;
  std::function<bool(const PeerAddress&)> blocked;
};

/// When something was first seen by a node, in microseconds of the machine's monotonic clock.
using SeenTimes = std::map<std::string, std::int64_t>;

class HollowNode {
 public:
  HollowNode(boost::asio::io_context& context, net::HttpClient& client, const HollowOptions& options, unsigned number)
      : environment_(context, counters_, client, PeerAddress(address(options, number))),
        backends_(client, counters_),
        platform_(client, options.platform) {
    node::NodeOptions node_options;
    node_options.self.id = hollow_name(options.group, number);
    node_options.self.zone = "zone-" + std::to_string(number % kZones);
    node_options.self.region = "region-" + std::to_string(number % kRegions);
    node_options.self.peer_address = address(options, number);
    node_options.self.api_address = address(options, number);
    node_options.self.roles = static_cast<std::uint32_t>(membership::Role::gateway) |
                              static_cast<std::uint32_t>(membership::Role::scheduler) |
                              static_cast<std::uint32_t>(membership::Role::controller);
    node_options.self.incarnation = environment_.unix_milliseconds();
    node_options.load_poll = std::chrono::milliseconds(1500);
    for (const char* seed : {".1.1:7000", ".1.2:7000", ".1.3:7000"}) {
      node_options.seeds.emplace_back(options.subnet + seed);
    }
    core_ = std::make_unique<node::NodeCore>(
        node::NodeDependencies{environment_, counters_, nullptr, backends_, platform_, log_}, node_options);
    core_->on_member_change = [this](const wire::MemberT& member) {
      seen_[member.id + "/" + wire::EnumNameMemberState(member.state)] = environment_.now().count();
    };
  }

  Status start() {
    const Status listening = environment_.listen([this](const wire::Incoming& incoming) {
      if (!environment_.silent && (!environment_.blocked || !environment_.blocked(incoming.sender))) {
        core_->handle(incoming);
        note_revision();
      }
    });
    if (succeeded(listening)) {
      core_->start();
    }
    return listening;
  }

  static std::string address(const HollowOptions& options, unsigned number) {
    return options.subnet + "." + std::to_string(10 + options.group) + "." + std::to_string(number) + ":7000";
  }

  node::NodeCore& core() { return *core_; }
  HollowEnvironment& environment() { return environment_; }
  Counters& counters() { return counters_; }
  const SeenTimes& seen() const { return seen_; }

 private:
  void note_revision() {
    const std::uint64_t revision = core_->objects.table().revision();
    if (revision != revision_) {
      revision_ = revision;
      revision_reached_[revision] = environment_.now().count();
    }
  }

 public:
  /// @return when the node first held @p revision or a later one; 0 when it does not.
  std::int64_t reached(std::uint64_t revision) const {
    const auto found = revision_reached_.lower_bound(revision);
    return found == revision_reached_.end() ? 0 : found->second;
  }

 private:
  Counters counters_;
  HollowEnvironment environment_;
  net::HttpBackendClient backends_;
  net::HttpPlatformClient platform_;
  NoDecisionLog log_;
  std::unique_ptr<node::NodeCore> core_;
  SeenTimes seen_;
  std::uint64_t revision_ = 0;
  std::map<std::uint64_t, std::int64_t> revision_reached_;
};

/// All nodes of the process and their control interface.
class HollowProcess {
 public:
  explicit HollowProcess(const HollowOptions& options)
      : options_(options),
        client_(context_, ""),
        server_(
            context_, counters_, [this](const auto& exchange) { control(exchange); }, server_options()) {
    for (unsigned number = 1; number <= options.count; ++number) {
      nodes_.push_back(std::make_unique<HollowNode>(context_, client_, options_, number));
    }
  }

  Status run() {
    for (auto& node : nodes_) {
      const Status started = node->start();
      if (!succeeded(started)) {
        return started;
      }
    }
    const Status listening = server_.listen(options_.control_address);
    if (!succeeded(listening)) {
      return listening;
    }
    context_.run();
    return Ok{};
  }

 private:
  static net::ServerOptions server_options() {
    net::ServerOptions options;
    options.refusal = [](const Error& error) { return net::HttpResponse{400, "text/plain", {}, error.detail}; };
    return options;
  }

  static std::uint64_t number(const net::HttpRequest& request, const char* name) {
    return std::strtoull(request.query(name).c_str(), nullptr, 10);
  }

  void control(const std::shared_ptr<net::Exchange>& exchange) {
    const net::HttpRequest& request = exchange->request();
    const std::string path(request.path());
    json::value answer = json::object{{"done", true}};
    if (path == "/counters") {
      answer = sum_counters();
    } else if (path == "/reached") {
      answer =
          times([revision = number(request, "revision")](const HollowNode& node) { return node.reached(revision); });
    } else if (path == "/seen") {
      answer = times([what = request.query("what")](const HollowNode& node) {
        const auto found = node.seen().find(what);
        return found == node.seen().end() ? std::int64_t{0} : found->second;
      });
    } else if (path == "/live") {
      answer = live_counts();
    } else if (path == "/leave") {
      nodes_.at(number(request, "node") - 1)->core().drain();
    } else if (path == "/silence") {
      for (std::uint64_t node = number(request, "from"); node <= number(request, "to"); ++node) {
        nodes_.at(node - 1)->environment().silent = true;
      }
    } else if (path == "/cut_regions") {
      cut_regions(request.query("on") == "true");
    }
    exchange->respond({200, "application/json", {}, json::serialize(answer)});
  }

  json::object sum_counters() {
    std::map<std::string, std::int64_t> sums;
    for (const auto& node : nodes_) {
      for (const auto& [name, value] : node->counters().values()) {
        sums[name] += value;
      }
    }
    json::object answer;
    for (const auto& [name, value] : sums) {
      answer[name] = value;
    }
    return answer;
  }

  template <class TimeOf>
  json::array times(TimeOf time_of) {
    json::array all;
    for (const auto& node : nodes_) {
      if (!node->environment().silent) {
        all.push_back(time_of(*node));
      }
    }
    return all;
  }

  json::array live_counts() {
    json::array counts;
    for (const auto& node : nodes_) {
      if (!node->environment().silent) {
        counts.push_back(node->core().members.live_count());
      }
    }
    return counts;
  }

  /// The last number of a hollow node's address tells its region; real nodes are all near.
  bool far(const PeerAddress& address) const {
    const bool hollow = !address.str().starts_with(options_.subnet + ".1.");
    const std::string ip = address.str().substr(0, address.str().find(':'));
    return hollow && std::stoul(ip.substr(ip.rfind('.') + 1)) % kRegions == 1;
  }

  void cut_regions(bool on) {
    for (const auto& node : nodes_) {
      const bool own_far = node->core().members.self().region == kFarRegion;
      node->environment().blocked = nullptr;
      if (on) {
        node->environment().blocked = [this, own_far](const PeerAddress& peer) { return far(peer) != own_far; };
      }
    }
  }

  const HollowOptions options_;
  boost::asio::io_context context_{1};
  Counters counters_;
  net::HttpClient client_;
  net::HttpServer server_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
};

}  // namespace

std::string hollow_name(unsigned group, unsigned number) {
  return "hollow-" + std::to_string(group) + "-" + std::to_string(number);
}

Status run_hollow(const HollowOptions& options) { return HollowProcess(options).run(); }

}  // namespace madderdeck::bench
