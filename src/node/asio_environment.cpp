#include "node/asio_environment.hpp"

#include <boost/asio/post.hpp>

#include "net/listen_error.hpp"

namespace madderdeck::node {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::size_t kMaxFrameBytes = 32 * 1024 * 1024;
constexpr std::chrono::seconds kFrameTimeout{5};  ///< Timeout for a frame's response, plus the time to send its bytes.
/// Lowest rate at which a peer can receive a long frame before it times out.
constexpr std::size_t kMinBytesPerSecond = 256 << 10;
constexpr std::size_t kMaxFrameAnswerBytes = 4 * 1024;  ///< An answer to a frame is empty or names an error.
constexpr Duration kLossLogInterval = 1s;               ///< Minimum time between two log lines about lost frames.
constexpr unsigned kNoContentStatus = 204;
constexpr unsigned kBadRequestStatus = 400;
constexpr unsigned kUnavailableStatus = 503;

bool is_datagram(wire::Message type) {
  return type == wire::Message::Ping || type == wire::Message::PingRequest || type == wire::Message::Ack ||
         type == wire::Message::RevisionNotice || type == wire::Message::RevisionQuestion ||
         type == wire::Message::RevisionAnswer || type == wire::Message::PromptReading ||
         type == wire::Message::SuspicionNews || type == wire::Message::SuspicionDigest ||
         type == wire::Message::SuspicionTaken || type == wire::Message::MemberDigests;
}

/// @return whether the message is about a single call. If such a message is lost, it is repeated within a second, or
/// its sender continues without a reply after some milliseconds. A connection and a response for each of them would be
/// most of a small node's work.
bool is_about_call(wire::Message type) {
  return type == wire::Message::PlaceRequest || type == wire::Message::PlaceReply ||
         type == wire::Message::PlaceWithdrawal || type == wire::Message::PlaceRoom ||
         type == wire::Message::OnlineActivity || type == wire::Message::EngineActivity ||
         type == wire::Message::EngineFailure || type == wire::Message::RateRequest || type == wire::Message::RateReply;
}

/// Size that fits into one packet on every network; longer messages are sent over connections.
constexpr std::size_t kMaxDatagramBytes = 1'200;

std::mt19937_64 seeded_generator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

}  // namespace

AsioEnvironment::AsioEnvironment(asio::io_context& context, Counters& counters, net::HttpClient& client,
                                 PeerAddress self)
    : context_(context),
      counters_(counters),
      client_(client),
      self_(std::move(self)),
      socket_(context),
      generator_(seeded_generator()) {}

Status AsioEnvironment::bind() {
  net::ServerOptions options;
  options.max_body_bytes = kMaxFrameBytes;
  options.refusal = [](const Error& error) {
    const unsigned status = error.kind == ErrorKind::unavailable ? kUnavailableStatus : kBadRequestStatus;
    return net::HttpResponse{status, "text/plain", {}, error.detail};
  };
  options.budget = budget_;
  options.holder_of = [](const net::HttpRequest&) { return memory_holder::peer_frames; };
  const auto handler = [this](const std::shared_ptr<net::Exchange>& exchange) {
    if (exchange->request().path() != kPeerMessagesPath) {
      exchange->respond({404, "text/plain", {}, ""});
      return;
    }
    exchange->respond({204, "text/plain", {}, ""});
    counters_["peer_stream_bytes_received_total"] += static_cast<CounterValue>(exchange->request().body.size());
    take_frame(exchange->request().body);
  };
  server_ = std::make_unique<net::HttpServer>(context_, counters_, handler, options);
  const Status bound = server_->bind(self_.str());
  if (!succeeded(bound)) {
    return bound;
  }
  net::Endpoint endpoint;
  net::parse_endpoint(self_.str(), endpoint);
  boost::system::error_code failure;
  const udp::endpoint local(asio::ip::make_address(endpoint.ip), endpoint.port);
  socket_.open(local.protocol(), failure);
  if (!failure) {
    socket_.bind(local, failure);
  }
  if (failure) {
    return net::listen_error(self_.str() + " (UDP)", failure);
  }
  return Ok{};
}

Status AsioEnvironment::start_receiving(OnMessage on_message) {
  on_message_ = std::move(on_message);
  const Status accepting = server_->start_accepting();
  if (succeeded(accepting)) {
    receive_datagrams();
  }
  return accepting;
}

Status AsioEnvironment::listen(OnMessage on_message) {
  const Status bound = bind();
  return succeeded(bound) ? start_receiving(std::move(on_message)) : bound;
}

Timestamp AsioEnvironment::now() const {
  return std::chrono::duration_cast<Timestamp>(clock::now().time_since_epoch());
}

std::uint64_t AsioEnvironment::unix_milliseconds() const {
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / 1ms);
}

void AsioEnvironment::after(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<net::boot_timer>(context_, delay);
  timer->async_wait([timer, task = std::move(task)](boost::system::error_code failure) {
    if (!failure) {
      task();
    }
  });
}

void AsioEnvironment::send(const PeerAddress& to, wire::MessageUnion message) {
  send_within(Duration::max() / 2, to, std::move(message));
}

void AsioEnvironment::send_within(Duration useful_for, const PeerAddress& to, wire::MessageUnion message) {
  if (to == self_) {
    auto incoming = std::make_shared<wire::Incoming>(wire::Incoming{self_, std::move(message)});
    asio::post(context_, [this, incoming] { on_message_(*incoming); });
    return;
  }
  if (is_datagram(message.type) || is_about_call(message.type)) {
    const std::vector<wire::MessageUnion> messages(1, message);
    const wire::Bytes frame = wire::encode_frame(self_, messages);
    if (is_datagram(message.type) || frame.size() <= kMaxDatagramBytes) {
      send_datagram(to, frame);
      return;
    }
  }
  Outbox& outbox = outbox_for(to);
  const Timestamp time = now();
  const peer_lane lane = outbox.waiting.add(std::move(message), time, time + useful_for);
  outbox.count();
  counters_["peer_messages_dropped_total"] += static_cast<CounterValue>(outbox.waiting.take_dropped());
  bool& sending = outbox.sending.at(static_cast<std::size_t>(lane));
  if (!sending) {
    sending = true;
    // Deferred, so that all messages of this iteration of the event loop share a frame.
    asio::post(context_, [this, to, lane] { flush(to, lane); });
  }
}

void AsioEnvironment::send_datagram(const PeerAddress& to, const wire::Bytes& frame) {
  net::Endpoint endpoint;
  if (!net::parse_endpoint(to.str(), endpoint)) {
    return;
  }
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(frame), udp::endpoint(asio::ip::make_address(endpoint.ip), endpoint.port), 0, ignored);
  counters_["peer_datagram_bytes_sent_total"] += static_cast<CounterValue>(frame.size());
}

void AsioEnvironment::flush(const PeerAddress& to, peer_lane lane) {
  Outbox& outbox = outbox_for(to);
  const std::vector<wire::MessageUnion> messages = outbox.waiting.next_frame(lane, now());
  outbox.count();
  counters_["peer_messages_dropped_total"] += static_cast<CounterValue>(outbox.waiting.take_dropped());
  if (messages.empty()) {
    outbox.sending.at(static_cast<std::size_t>(lane)) = false;
    return;
  }
  const wire::Bytes frame = wire::encode_frame(self_, messages);
  counters_["peer_stream_bytes_sent_total"] += static_cast<CounterValue>(frame.size());
  post(to, frame, {lane, messages.size(), frame.size(), now()});
}

void AsioEnvironment::post(const PeerAddress& to, const wire::Bytes& frame, SentFrame sent) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = kPeerMessagesPath;
  request.body.assign(reinterpret_cast<const char*>(frame.data()), frame.size());
  net::ClientCallOptions options;
  options.max_body_bytes = kMaxFrameAnswerBytes;
  options.idle_timeout = kFrameTimeout + std::chrono::milliseconds(frame.size() * 1000 / kMinBytesPerSecond);
  options.total_timeout = options.idle_timeout;
  const auto hold = std::make_shared<memory_hold>(budget_, memory_holder::peer_outboxes);
  hold->set(static_cast<std::int64_t>(frame.size()));
  client_.fetch(
      to.str(), std::move(request),
      [this, to, sent, hold](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
        const auto* response = std::get_if<net::SimpleResponse>(&result);
        if (response == nullptr) {
          note_lost(to, sent, net::call_break_name(std::get<net::CallBreak>(result)));
        } else if (response->status != kNoContentStatus) {
          note_lost(to, sent, "status " + std::to_string(response->status) + ": " + response->body);
        }
        flush(to, sent.lane);
      },
      options);
}

void AsioEnvironment::note_lost(const PeerAddress& to, const SentFrame& sent, const std::string& reason) {
  counters_["peer_frames_failed_total"]++;
  counters_["peer_frame_messages_lost_total"] += static_cast<CounterValue>(sent.messages);
  ++losses_;
  const bool logged_recently = loss_logged_at_.count() != 0 && now() - loss_logged_at_ < kLossLogInterval;
  if (log_ == nullptr || logged_recently) {
    return;
  }
  loss_logged_at_ = now();
  log_->record("peer_frame_lost", {{"peer", to.str()},
                                   {"bulk", sent.lane == peer_lane::bulk},
                                   {"messages", sent.messages},
                                   {"bytes", sent.bytes},
                                   {"reason", reason},
                                   {"took_ms", (now() - sent.sent_at) / 1ms},
                                   {"frames", losses_}});
  losses_ = 0;
}

void AsioEnvironment::receive_datagrams() {
  socket_.async_receive_from(asio::buffer(datagram_), remote_,
                             [this](boost::system::error_code failure, std::size_t bytes) {
                               if (failure == asio::error::operation_aborted) {
                                 return;
                               }
                               if (!failure) {
                                 counters_["peer_datagram_bytes_received_total"] += static_cast<CounterValue>(bytes);
                                 take_frame(std::string_view(datagram_.data(), bytes));
                               }
                               receive_datagrams();
                             });
}

void AsioEnvironment::take_frame(std::string_view bytes) {
  const auto decoded = wire::decode_frame(bytes);
  if (!succeeded(decoded)) {
    counters_["peer_frames_invalid_total"]++;
    return;
  }
  for (const wire::Incoming& incoming : value_of(decoded)) {
    on_message_(incoming);
  }
}

}  // namespace madderdeck::node
