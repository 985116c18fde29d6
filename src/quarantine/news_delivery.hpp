#pragma once
/// @file Sends updates about suspected requests to the other nodes until each has acknowledged them.

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::quarantine {

/// Sends a datagram to every peer and repeats it to those that have not acknowledged it, with delays that grow by half:
/// nine times within 400 ms, so that all of a hundred nodes receive it on a network that loses 30 of 100 datagrams. A
/// peer that left all copies of a message unacknowledged (an earlier version without acknowledgements, or an
/// unreachable node) is sent only a few copies of later messages until it acknowledges one. Messages, attempts and time
/// are bounded; updates that were not delivered are exchanged later when nodes compare their lists. Single threaded.
class news_delivery {
 public:
  /// @return the peer addresses of all other nodes that must receive the updates.
  using peers = std::function<std::vector<PeerAddress>()>;
  /// @return a message with the current entries of the given requests. It is composed anew for each transmission.
  using compose = std::function<wire::SuspicionNewsT(const std::vector<routing::request_fingerprint>&)>;

  /// @param gives_up whether a message that remains unacknowledged is abandoned after kMaxAttempts transmissions.
  news_delivery(Environment& environment, Counters& counters, DecisionLog& log, peers list_peers, compose compose_news,
                bool gives_up = true);

  /// Sends the entries of @p requests to all other nodes.
  void send_to_all(const std::vector<routing::request_fingerprint>& requests);
  /// Handles the acknowledgement of message @p number by @p peer.
  void on_acknowledged(const PeerAddress& peer, std::uint64_t number);
  /// @return whether a message about @p request has not been acknowledged by all peers yet.
  bool awaits_acknowledgement(const routing::request_fingerprint& request) const;

  /// Entries per datagram. At some 300 bytes each, the datagram stays below the size at which it is fragmented.
  static constexpr std::size_t kMaxRequestsPerDatagram = 6;
  /// Delay before the first repetition: a round trip between zones plus the scheduling delay of a busy receiver.
  static constexpr Duration kFirstRepeatDelay = 8ms;
  /// Lower bound of the first delay per peer: sending a message and reading its answer take about 0.1 ms each.
  static constexpr Duration kRepeatDelayPerPeer = 200us;
  /// Maximum number of transmissions. The last is sent 2 s after the first, within the 3 s by which connected nodes may
  /// lag behind each other.
  static constexpr unsigned kMaxAttempts = 13;
  /// Transmissions to a peer that left all kMaxAttempts of an earlier message unacknowledged.
  static constexpr unsigned kMaxAttemptsToUnresponsive = 3;
  /// Maximum number of unacknowledged messages; the oldest is dropped first. An engine that terminates with 30 requests
  /// causes five.
  static constexpr std::size_t kMaxOpenMessages = 64;

 private:
  struct message {
    std::vector<routing::request_fingerprint> requests;
    std::set<PeerAddress> told;        ///< Peers that the message is or was sent to.
    std::set<PeerAddress> unanswered;  ///< Of these, the peers that have not acknowledged it.
    unsigned attempts = 0;
    Duration delay{};
    Timestamp started_at{};
  };

  void send_datagram(std::vector<routing::request_fingerprint> requests);
  void send(std::uint64_t number);
  /// Adds peers that joined since the last transmission of @p open and removes those that left.
  void update_peers(message& open) const;
  void forget_departed_unresponsive();
  bool is_done(const message& open) const;
  void give_up(const message& open);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const peers list_peers_;
  const compose compose_news_;
  const bool gives_up_;
  std::map<std::uint64_t, message> open_;
  std::set<PeerAddress> unresponsive_;  ///< Peers that left all attempts of a message unacknowledged.
  std::uint64_t next_number_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
