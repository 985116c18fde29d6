#pragma once
/// @file Stores a list of the requests that are quarantined in the platform's store, so that it survives the loss of
/// all nodes that know them.

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/counters.hpp"
#include "common/decision_log.hpp"
#include "common/environment.hpp"
#include "object_store/platform_client.hpp"
#include "quarantine/end_history.hpp"

namespace madderdeck::quarantine {

/// Key of the single object that holds the list. A starting node does not know any fingerprints, so it could not read
/// one object per request.
inline constexpr char kMarksKind[] = "held-back-requests";
inline constexpr char kMarksName[] = "list";

/// @return @p marks as the object's body, JSON.
std::string format_marks(const std::vector<crash_suspect>& marks);
/// @return the marks in @p body; ErrorKind::corrupted when they cannot be read.
Result<std::vector<crash_suspect>> parse_marks(const std::string& body);

/// Reads the list once when the node starts, and adds a request to it when the request is first quarantined. If the
/// store is unavailable, the operation is retried up to kMaxAttempts times with growing delays; nothing waits for it.
/// Single threaded.
class held_back_marks {
 public:
  /// Receives the entries of the list after each read.
  using list_handler = std::function<void(const std::vector<crash_suspect>&)>;
  /// @return this node's entry for a request; nothing if it has none.
  using entry_lookup = std::function<std::optional<crash_suspect>(const routing::request_fingerprint&)>;

  /// @param platform outlives this.
  held_back_marks(Environment& environment, Counters& counters, DecisionLog& log,
                  object_store::PlatformClient& platform, list_handler handle_list, entry_lookup known);

  /// Reads the list.
  void read();
  /// Adds @p request to the list, or removes it if it is no longer quarantined.
  void write(const routing::request_fingerprint& request);
  /// @return whether the list contained @p request when this node last read or wrote it.
  bool holds(const routing::request_fingerprint& request) const { return listed_.contains(request); }

  /// Maximum number of entries, of about 500 bytes each; the ones with the oldest last event are dropped first.
  static constexpr std::size_t kMaxMarks = 32;
  static constexpr Duration kFirstRetryDelay = 200ms;
  static constexpr Duration kMaxRetryDelay = 60s;
  /// With these delays the retries span a little less than the 15 minutes for which terminations are kept.
  static constexpr unsigned kMaxAttempts = 20;

 private:
  void begin_update();
  void read_list();
  void on_read(const Result<std::optional<object_store::StoredObject>>& result);
  void put(std::uint64_t revision, const std::vector<crash_suspect>& marks);
  void retry(ErrorKind kind);
  void finish();
  /// @return the list to write: the entries of @p stored and of writing_ that are quarantined, as this node knows them.
  std::vector<crash_suspect> updated_list(const std::vector<crash_suspect>& stored) const;
  /// @return whether @p stored needs no change: it lists exactly those requests of writing_ that are quarantined.
  bool is_up_to_date(const std::vector<crash_suspect>& stored) const;

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  object_store::PlatformClient& platform_;
  const list_handler handle_list_;
  const entry_lookup look_up_entry_;
  std::set<routing::request_fingerprint> to_write_;
  std::set<routing::request_fingerprint> writing_;  ///< Moved here from to_write_ by the read in progress.
  std::set<routing::request_fingerprint> listed_;
  bool busy_ = false;
  unsigned attempts_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
