#pragma once
/// @file Durable claims: a non-repeatable request is claimed in the ledger before it is sent.

#include <functional>
#include <string>

#include "ledger/client.hpp"

namespace madderdeck::routing {

/// Identity of a non-repeatable request.
struct ClaimKey {
  std::string tenant;
  std::string idempotency_key;

  /// @return the ledger key of the claim.
  std::string ledger_key() const;
};

/// Result of a claim or of a look-up.
struct ClaimResult {
  bool won = false;           ///< This attempt, and no other, may send the request.
  wire::ClaimRecordT record;  ///< The current claim.
};

/// Rules of claims; always on in the daemon.
struct ClaimGuards {
  bool respect_existing = true;  ///< Another attempt's claim is never taken over.
};

/// Reads and writes claims. Single threaded.
class ClaimStore {
 public:
  ClaimStore(Environment& environment, ledger::Client& ledger, ClaimGuards guards = {});

  using ClaimDone = std::function<void(Result<ClaimResult>)>;
  using Finished = std::function<void(bool stored)>;

  /// Claims @p key for @p attempt unless another attempt holds a claim. On ErrorKind::ambiguous the claim may
  /// still take effect: the caller must not send the request, and should release the claim.
  void claim(const ClaimKey& key, std::uint64_t attempt, std::uint64_t fingerprint, ClaimDone done);
  /// Reads the current claim; ErrorKind::not_found if there is none.
  void look_up(const ClaimKey& key, ClaimDone done);
  /// Stores the answer to the claimed request, so that a repeated request gets the same answer.
  void record_answer(const ClaimKey& key, std::uint64_t attempt, unsigned http_status, const std::string& body,
                     Finished done);
  /// Releases the claim. Call it only if the attempt was certainly not sent and never will be.
  void release(const ClaimKey& key, std::uint64_t attempt, Finished done);

 private:
  void transition(const ClaimKey& key, std::uint64_t attempt, wire::ClaimState state, unsigned http_status,
                  const std::string& body, unsigned tries_left, Finished done);

  Environment& environment_;
  ledger::Client& ledger_;
  const ClaimGuards guards_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::routing
