#pragma once
/// @file Carries news of requests to the other nodes until each has said that it took it.

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "routing/request_fingerprint.hpp"

namespace madderdeck::quarantine {

/// Sends a datagram to every peer, and again to those that have not acknowledged it, with pauses that grow by half:
/// nine times within 400 ms, so that of a hundred nodes on a network which loses 30 in 100 none is left out. A peer
/// that was told many times without a word (an earlier version, which knows no acknowledgement, or one that is away) is
/// told a few times only until it answers something. Bounded in messages, tries and time; what is left over is made
/// good by comparing lists. Single threaded.
class news_delivery {
 public:
  /// @return peer addresses of all other nodes that have to know.
  using peers = std::function<std::vector<PeerAddress>()>;
  /// @return the message that says what is known of some requests at that moment.
  using compose = std::function<wire::SuspicionNewsT(const std::vector<routing::request_fingerprint>&)>;

  /// @param gives_up whether news that stays unanswered is given up in the end.
  news_delivery(Environment& environment, Counters& counters, DecisionLog& log, peers everyone, compose write,
                bool gives_up = true);

  /// Tells all others of @p requests.
  void tell(const std::vector<routing::request_fingerprint>& requests);
  /// @p peer says that it took message @p number.
  void taken(const PeerAddress& peer, std::uint64_t number);
  /// @return whether some peer that was told of @p request has not said that it took it.
  bool awaits(const routing::request_fingerprint& request) const;

  /// Entries of some 300 bytes; so many stay below the size at which datagrams are cut up.
  static constexpr std::size_t kMostInOneDatagram = 6;
  /// A round trip between zones and the receiver's turn on a busy processor.
  static constexpr Duration kFirstPause = 8ms;
  /// To hear so many answers takes its time, too: about 0.1 ms each to send and to read.
  static constexpr Duration kPausePerPeer = 200us;
  /// The last one 2 s after the first, below the 3 s in which nodes in touch may be behind.
  static constexpr unsigned kMostTries = 13;
  /// Of a peer that left kMostTries without an answer.
  static constexpr unsigned kTriesOfSilent = 3;
  /// Open at the same time; an engine that ends with 30 requests makes five.
  static constexpr std::size_t kMostOpen = 64;

 private:
  struct message {
    std::vector<routing::request_fingerprint> requests;
    std::set<PeerAddress> told;
    std::set<PeerAddress> unanswered;
    unsigned tries = 0;
    Duration pause{};
    Timestamp begun{};
  };

  void tell_some(std::vector<routing::request_fingerprint> requests);
  void send(std::uint64_t number);
  /// Peers that came up since the last try are told, too; those that are gone need not answer.
  void follow_peers(message& open) const;
  void forget_silent_that_left();
  bool is_done(const message& open) const;
  void give_up(const message& open);

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const peers everyone_;
  const compose write_;
  const bool gives_up_;
  std::map<std::uint64_t, message> open_;
  std::set<PeerAddress> silent_;
  std::uint64_t next_number_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
