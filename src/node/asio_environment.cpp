#include "node/asio_environment.hpp"

#include <boost/asio/post.hpp>

namespace madderdeck::node {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::size_t kMaxWaiting = 20'000;  ///< Messages to one peer; the oldest go first.
constexpr std::size_t kMessagesPerFrame = 256;
constexpr std::size_t kMaxFrameBytes = 32 * 1024 * 1024;

bool is_datagram(wire::Message type) {
  return type == wire::Message::Ping || type == wire::Message::PingRequest || type == wire::Message::Ack ||
         type == wire::Message::RevisionNotice || type == wire::Message::RevisionQuestion ||
         type == wire::Message::RevisionAnswer || type == wire::Message::PromptReading ||
         type == wire::Message::SuspicionNews || type == wire::Message::SuspicionDigest ||
         type == wire::Message::SuspicionTaken;
}

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

Status AsioEnvironment::listen(OnMessage on_message) {
  on_message_ = std::move(on_message);
  net::ServerOptions options;
  options.max_body_bytes = kMaxFrameBytes;
  options.refusal = [](const Error& error) { return net::HttpResponse{400, "text/plain", {}, error.detail}; };
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
  const Status listening = server_->listen(self_.str());
  if (!succeeded(listening)) {
    return listening;
  }
  net::Endpoint endpoint;
  net::parse_endpoint(self_.str(), endpoint);
  boost::system::error_code failure;
  const udp::endpoint local(asio::ip::make_address(endpoint.ip), endpoint.port);
  socket_.open(local.protocol(), failure);
  socket_.bind(local, failure);
  if (failure) {
    const ErrorKind kind =
        failure == asio::error::address_in_use ? ErrorKind::address_in_use : ErrorKind::invalid_argument;
    return Error{kind, self_.str() + " (UDP): " + failure.message()};
  }
  receive_datagrams();
  return Ok{};
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
  if (to == self_) {
    auto incoming = std::make_shared<wire::Incoming>(wire::Incoming{self_, std::move(message)});
    asio::post(context_, [this, incoming] { on_message_(*incoming); });
    return;
  }
  if (is_datagram(message.type)) {
    send_datagram(to, message);
    return;
  }
  Outbox& outbox = outboxes_[to];
  if (outbox.waiting.size() >= kMaxWaiting) {
    outbox.waiting.pop_front();
    counters_["peer_messages_dropped_total"]++;
  }
  outbox.waiting.push_back(std::move(message));
  if (!outbox.sending) {
    outbox.sending = true;
    // Messages of the same turn of the loop share a frame.
    asio::post(context_, [this, to] { flush(to); });
  }
}

void AsioEnvironment::send_datagram(const PeerAddress& to, const wire::MessageUnion& message) {
  net::Endpoint endpoint;
  if (!net::parse_endpoint(to.str(), endpoint)) {
    return;
  }
  std::vector<wire::MessageUnion> messages(1, message);
  const wire::Bytes frame = wire::encode_frame(self_, messages);
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(frame), udp::endpoint(asio::ip::make_address(endpoint.ip), endpoint.port), 0, ignored);
  counters_["peer_datagram_bytes_sent_total"] += static_cast<CounterValue>(frame.size());
}

void AsioEnvironment::flush(const PeerAddress& to) {
  Outbox& outbox = outboxes_[to];
  if (outbox.waiting.empty()) {
    outbox.sending = false;
    return;
  }
  std::vector<wire::MessageUnion> messages;
  while (!outbox.waiting.empty() && messages.size() < kMessagesPerFrame) {
    messages.push_back(std::move(outbox.waiting.front()));
    outbox.waiting.pop_front();
  }
  const wire::Bytes frame = wire::encode_frame(self_, messages);
  net::HttpRequest request;
  request.method = "POST";
  request.target = kPeerMessagesPath;
  request.body.assign(reinterpret_cast<const char*>(frame.data()), frame.size());
  counters_["peer_stream_bytes_sent_total"] += static_cast<CounterValue>(frame.size());
  net::ClientCallOptions options;
  options.idle_timeout = std::chrono::seconds(5);
  client_.fetch(
      to.str(), std::move(request),
      [this, to](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
        if (std::holds_alternative<net::CallBreak>(result)) {
          counters_["peer_frames_failed_total"]++;
        }
        flush(to);
      },
      options);
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
