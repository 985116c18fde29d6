#pragma once
/// @file Keeps which software version writes each stream on a few gateways, so that this outlives the gateway that
/// began the stream.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "forwarding/stream_directory.hpp"
#include "membership/membership.hpp"
#include "routing/registry.hpp"

namespace madderdeck::placement {

/// Rules that the simulation can switch off; always on in the daemon.
struct stream_record_guards {
  bool share_records = true;   ///< Records are sent to other gateways while a pool has several versions.
  bool refuse_unknown = true;  ///< Nothing is found where the version is not known for certain.
  bool heed_others = true;     ///< A version is the only one only if no gateway has seen another, in current views.
};

/// Every gateway keeps the records of its own streams. Each is also sent to kHolders gateways, ranked by the stream's
/// key, in different zones if possible, unless the pool has had one software version for longer than the stream can be
/// resumed. A gateway at which a stream is resumed asks the gateways that it ranks highest. Single threaded.
class stream_records : public forwarding::stream_directory {
 public:
  /// Gateways that keep a record besides the one that began the stream.
  static constexpr std::size_t kHolders = 3;
  /// Gateways that are asked: one more, since views of the fleet differ for a short time after a change.
  static constexpr std::size_t kAsked = 4;
  /// Largest number of records at one gateway; each takes about 150 bytes.
  static constexpr std::size_t kMaxRecords = 16'384;

  /// @param members, registry outlive this.
  stream_records(Environment& environment, Counters& counters, DecisionLog& log, const routing::Registry& registry,
                 const membership::Membership& members, stream_record_guards guards = {});

  /// A record is kept for this long at most, whatever a peer states.
  static constexpr Duration kMaxValidity = 180s;

  void record(const forwarding::stream_key& key, const forwarding::stream_origin& origin, Duration valid_for,
              bool several_pools) override;
  ticket look_up(forwarding::stream_query query, found done) override;
  void withdraw(ticket lookup) override { lookups_.erase(lookup); }
  /// Sends the records of pools that have just got a second software version. Call this when the list of back ends has
  /// changed.
  void on_back_ends_changed();
  /// Sends the records that could be sent to nobody, as this gateway knew no other one. Call this when one is found.
  void on_member_found();

  void handle(const wire::StreamRecordT& message);
  void handle(const PeerAddress& sender, const wire::StreamQuestionT& message);
  void handle(const PeerAddress& sender, const wire::StreamAnswerT& message);

  std::size_t size() const { return records_.size(); }

 private:
  struct kept_record {
    forwarding::stream_origin origin;
    Timestamp expires_at{};
    bool own = false;          ///< This gateway served the stream.
    bool conflicting = false;  ///< Two streams have the same key and different origins.
  };
  struct lookup {
    forwarding::stream_query query;
    found done;
    Timestamp started{};
    unsigned round = 0;
    std::set<PeerAddress> awaited;  ///< Gateways asked in this round that have not answered.
    bool answered = false;          ///< Some gateway has answered.
    /// Each was the only one of the pool for long enough, as a gateway with a current list saw it.
    std::set<std::string> sole_versions;
    std::set<std::string> seen_versions;  ///< By any gateway that has answered, however old its list.
  };
  /// Why a lookup ended as it did, for the log.
  enum class evidence { own_record, record_of_peer, only_version, none, conflicting };
  static std::string_view evidence_name(evidence reason);

  bool store(const forwarding::stream_key& key, const forwarding::stream_origin& origin, Duration valid_for, bool own);
  void share(const forwarding::stream_key& key, const kept_record& record);
  bool has_several_versions(const std::string& pool) const;
  /// @return the @p count gateways that rank highest for @p key: first the highest of each zone.
  std::vector<const wire::MemberT*> holders_of(const forwarding::stream_key& key, std::size_t count) const;
  void ask(ticket number);
  void conclude_round(ticket number);
  /// @return whether a view of the back ends of age @p age_ms shows all that gateways may have used that have ended.
  bool is_current(std::int64_t age_ms) const;
  /// @return where the stream must have begun, as only one version can have written it; nothing if that is not certain.
  std::optional<forwarding::stream_origin> sole_origin(const lookup& pending) const;
  void finish(ticket number, std::optional<forwarding::stream_origin> origin, evidence reason);
  void remove_expired();

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  const routing::Registry& registry_;
  const membership::Membership& members_;
  const stream_record_guards guards_;
  const Timestamp started_;
  std::map<forwarding::stream_key, kept_record> records_;
  std::multimap<Timestamp, forwarding::stream_key> expiries_;
  std::set<forwarding::stream_key> unshared_;  ///< Records that should have been sent when no other gateway was known.
  std::set<std::string> own_pools_;            ///< Pools of this gateway's streams.
  std::set<std::string> shared_pools_;         ///< Of these, those whose records were sent to the holders.
  std::map<ticket, lookup> lookups_;
  ticket next_lookup_ = 0;  ///< 0: none so far.
  Lifetime lifetime_;
};

}  // namespace madderdeck::placement
