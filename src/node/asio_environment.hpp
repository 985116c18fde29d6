#pragma once
/// @file Environment of the daemon: system clock and timers, UDP for membership and messages about single calls,
/// HTTP between peers for all other messages.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <random>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "common/memory_budget.hpp"
#include "net/boot_clock.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "node/peer_outbox.hpp"
#include "wire/codec.hpp"

namespace madderdeck::node {

/// HTTP path to which peers post their messages; part of the peer protocol.
inline constexpr char kPeerMessagesPath[] = "/peer/messages";

/// Environment on one io_context. Single threaded.
class AsioEnvironment : public Environment {
 public:
  using clock = net::boot_clock;
  using OnMessage = std::function<void(const wire::Incoming&)>;

  AsioEnvironment(boost::asio::io_context& context, Counters& counters, net::HttpClient& client, PeerAddress self);

  /// Sets the log for lost frames. @p log has to outlive this object.
  void set_log(DecisionLog& log) { log_ = &log; }

  /// Sets the budget for frames and outboxes; before listen(). Without it there is no limit.
  void set_budget(std::shared_ptr<memory_budget> budget) { budget_ = std::move(budget); }

  /// Takes this node's peer address for TCP and UDP. The UDP socket excludes any other process of this node.
  /// @return the errors of net::listen_error().
  Status bind();
  /// Receives messages at the address that bind() took.
  /// @return the errors of net::listen_error().
  Status start_receiving(OnMessage on_message);
  /// bind() and start_receiving().
  Status listen(OnMessage on_message);

  Timestamp now() const override;
  std::uint64_t unix_milliseconds() const override;
  std::uint64_t random() override { return generator_(); }
  void send(const PeerAddress& to, wire::MessageUnion message) override;
  void send_within(Duration useful_for, const PeerAddress& to, wire::MessageUnion message) override;
  void after(Duration delay, std::function<void()> task) override;

 private:
  struct Outbox {
    explicit Outbox(std::shared_ptr<memory_budget> budget) : hold(std::move(budget), memory_holder::peer_outboxes) {}
    /// Counts what waits.
    void count() { hold.set(static_cast<std::int64_t>(waiting.waiting_bytes())); }

    peer_outbox waiting;
    memory_hold hold;
    std::array<bool, kPeerLanes> sending{};
  };
  struct SentFrame {
    peer_lane lane = peer_lane::prompt;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    Timestamp sent_at{};
  };

  Outbox& outbox_for(const PeerAddress& to) { return outboxes_.try_emplace(to, budget_).first->second; }
  void send_datagram(const PeerAddress& to, const wire::Bytes& frame);
  void flush(const PeerAddress& to, peer_lane lane);
  void post(const PeerAddress& to, const wire::Bytes& frame, SentFrame sent);
  void note_lost(const PeerAddress& to, const SentFrame& sent, const std::string& reason);
  void receive_datagrams();
  void take_frame(std::string_view bytes);

  boost::asio::io_context& context_;
  Counters& counters_;
  net::HttpClient& client_;
  const PeerAddress self_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint remote_;
  std::array<char, 65'536> datagram_{};
  std::unique_ptr<net::HttpServer> server_;
  OnMessage on_message_;
  std::shared_ptr<memory_budget> budget_;
  std::map<PeerAddress, Outbox> outboxes_;
  DecisionLog* log_ = nullptr;
  Timestamp loss_logged_at_{};
  std::size_t losses_ = 0;  ///< Frames lost since the last log line about lost frames.
  std::mt19937_64 generator_;
};

}  // namespace madderdeck::node
