#pragma once
/// @file Names the requests that are held back in the platform's store, for when all who know of them are gone.

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

/// The one object that names them: a node that starts cannot ask for requests that it does not know.
inline constexpr char kMarksKind[] = "held-back-requests";
inline constexpr char kMarksName[] = "list";

/// @return @p marks as the object's body, JSON.
std::string format_marks(const std::vector<suspected_request>& marks);
/// @return the marks in @p body; ErrorKind::corrupted when they cannot be read.
Result<std::vector<suspected_request>> parse_marks(const std::string& body);

/// Reads the list once when the node starts, and writes a request into it once, when it is held back. A store that is
/// away is asked again with pauses that grow, kMostTries times; nothing waits for it. Single threaded.
class held_back_marks {
 public:
  /// Takes what the list says.
  using take = std::function<void(const std::vector<suspected_request>&)>;
  /// @return what this node knows of a request; nothing when that is nothing.
  using look_up = std::function<std::optional<suspected_request>(const routing::request_fingerprint&)>;

  /// @param platform outlives this.
  held_back_marks(Environment& environment, Counters& counters, DecisionLog& log,
                  object_store::PlatformClient& platform, take taken, look_up known);

  /// Reads the list.
  void read();
  /// Writes @p request into the list, or takes it off when it has been acquitted.
  void write(const routing::request_fingerprint& request);
  /// @return whether the list holds @p request, as far as this node has seen.
  bool holds(const routing::request_fingerprint& request) const { return seen_.contains(request); }

  /// Of about 500 bytes each; those without news for longest go first.
  static constexpr std::size_t kMostMarks = 32;
  static constexpr Duration kFirstPause = 200ms;
  static constexpr Duration kLongestPause = 60s;
  /// With these pauses a store that is away is asked for a little less than the 15 minutes for which ends are kept.
  static constexpr unsigned kMostTries = 20;

 private:
  void begin();
  void ask();
  void on_read(const Result<std::optional<object_store::StoredObject>>& result);
  void put(std::uint64_t revision, const std::vector<suspected_request>& marks);
  void try_again(ErrorKind kind);
  void finish();
  /// @return @p stored with what this node knows of them and of those that are to be written.
  std::vector<suspected_request> renewed(const std::vector<suspected_request>& stored) const;
  bool is_settled(const std::vector<suspected_request>& stored) const;

  Environment& environment_;
  Counters& counters_;
  DecisionLog& log_;
  object_store::PlatformClient& platform_;
  const take taken_;
  const look_up known_;
  std::set<routing::request_fingerprint> to_write_;
  std::set<routing::request_fingerprint> writing_;  ///< Of to_write_, those of the present reading.
  std::set<routing::request_fingerprint> seen_;
  bool busy_ = false;
  unsigned tries_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::quarantine
