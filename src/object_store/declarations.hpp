#pragma once
/// @file Writes objects to the store; a write counts as accepted only once its compare-and-set is confirmed.

#include <functional>
#include <map>
#include <string>

#include "common/counters.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::object_store {

/// Safety rules for writes; always on in the daemon.
struct DeclarationGuards {
  bool resolve_ambiguous_writes = true;  ///< Reads the object back after a lost reply, instead of assuming success.
};

/// Writes declared objects. Single threaded.
class Declarations {
 public:
  Declarations(Environment& environment, Counters& counters, PlatformClient& platform, DeclarationGuards guards = {});

  using Done = PutDone;
  /// Writes @p request, whose change_id is set here.
  /// @p done receives the new revision; ErrorKind::conflict with the current revision;
  /// ErrorKind::unavailable when nothing changed; ErrorKind::ambiguous when the outcome could
  /// not be determined in time.
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
  /// Ends a change that got no reply.
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
