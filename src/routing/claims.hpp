#pragma once
/// @file Durable claims: a request that may not be repeated is claimed before it is sent.

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

/// What a try to claim found.
struct ClaimResult {
  bool won = false;           ///< This attempt, and no other, may send the request.
  wire::ClaimRecordT record;  ///< The claim that stands.
};

/// Rules of claims; always on in the daemon.
struct ClaimGuards {
  bool respect_existing = true;  ///< A claim that stands is never taken over.
};

/// Reads and writes claims. Single threaded.
class ClaimBook {
 public:
  ClaimBook(Environment& environment, ledger::Client& ledger, ClaimGuards guards = {});

  using ClaimDone = std::function<void(Result<ClaimResult>)>;
  using Finished = std::function<void(bool stored)>;

  /// Claims @p key for @p attempt unless a claim stands. On ErrorKind::ambiguous the claim may
  /// still take effect; the caller must not send, and ought to release.
  void claim(const ClaimKey& key, std::uint64_t attempt, std::uint64_t fingerprint, ClaimDone done);
  /// Reads the claim that stands; ErrorKind::not_found when there is none.
  void look_up(const ClaimKey& key, ClaimDone done);
  /// Stores the answer of the claimed request, so that a resend gets it again.
  void record_answer(const ClaimKey& key, std::uint64_t attempt, unsigned http_status, const std::string& body,
                     Finished done);
  /// Gives the claim up. Only for an attempt that certainly was not sent and never will be.
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
