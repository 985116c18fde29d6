#pragma once
/// @file Declaring objects: accepted only once the store's compare-and-set is known to stand.

#include <functional>
#include <map>
#include <string>

#include "common/counters.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::object_store {

/// Rules of declaring; always on in the daemon.
struct DeclarationGuards {
  bool settle_ambiguous = true;  ///< A lost answer is settled by reading back, not taken for success.
};

/// Writes declared objects. Single threaded.
class Declarations {
 public:
  Declarations(Environment& environment, Counters& counters, PlatformClient& platform, DeclarationGuards guards = {});

  using Done = PutDone;
  /// Writes @p request, whose change_id is filled in here.
  /// @p done gets the revision; ErrorKind::conflict with the revision that stands;
  /// ErrorKind::unavailable when nothing changed; ErrorKind::ambiguous when the outcome could
  /// not be settled in time.
  void declare(PutRequest request, Done done);

 private:
  using ChangeNumber = std::uint64_t;
  struct Pending {
    PutRequest request;
    Done done;
    Timestamp deadline{};
    bool maybe_applied = false;
  };

  void try_put(ChangeNumber number);
  void read_back(ChangeNumber number);
  /// Ends a change whose answer never comes.
  void end_unanswered(ChangeNumber number);
  void finish(ChangeNumber number, Result<std::uint64_t> result);
  void retry(ChangeNumber number, void (Declarations::*step)(ChangeNumber));

  Environment& environment_;
  Counters& counters_;
  PlatformClient& platform_;
  const DeclarationGuards guards_;
  std::map<ChangeNumber, Pending> pending_;
  ChangeNumber next_ = 0;
  Lifetime lifetime_;
};

}  // namespace madderdeck::object_store
