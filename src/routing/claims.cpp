#include "routing/claims.hpp"

#include "common/hash.hpp"

namespace madderdeck::routing {
namespace {
constexpr unsigned kTransitionTries = 5;
constexpr Duration kTransitionPause = 500ms;
}  // namespace

std::string ClaimKey::ledger_key() const {
  // The caller's text is hashed, so that it cannot address another part of the key space.
  return "claim/" + hex64(stable_hash(idempotency_key, 1)) + hex64(stable_hash(idempotency_key, stable_hash(tenant))) +
         "/" + tenant;
}

ClaimStore::ClaimStore(Environment& environment, ledger::Client& ledger, ClaimGuards guards)
    : environment_(environment), ledger_(ledger), guards_(guards) {}

void ClaimStore::claim(const ClaimKey& key, std::uint64_t attempt, std::uint64_t fingerprint, ClaimDone done) {
  wire::ClaimRecordT mine;
  mine.state = wire::ClaimState::Claimed;
  mine.attempt = attempt;
  mine.fingerprint = fingerprint;
  const wire::Bytes encoded = wire::encode_record(mine);
  const bool respect = guards_.respect_existing;
  const auto take_if_free = [encoded, respect, attempt](const ledger::OptionalValue& current) -> ledger::OptionalValue {
    if (!current) {
      return encoded;
    }
    const auto standing = wire::decode_record<wire::ClaimRecordT>(*current);
    const bool free = !standing || standing->state == wire::ClaimState::Released;
    if (free && (!standing || standing->attempt != attempt)) {
      return encoded;
    }
    const bool take_over = !respect && standing && standing->attempt != attempt;
    return take_over ? ledger::OptionalValue(encoded) : std::nullopt;
  };
  ledger_.change(key.ledger_key(), take_if_free, [attempt, done](Result<ledger::OptionalValue> result) {
    if (!succeeded(result)) {
      done(error_of(result));
      return;
    }
    const auto standing = wire::decode_record<wire::ClaimRecordT>(*value_of(result));
    if (!standing) {
      done(Error{ErrorKind::corrupted, "the claim record cannot be decoded"});
      return;
    }
    const bool won = standing->attempt == attempt && standing->state == wire::ClaimState::Claimed;
    done(ClaimResult{won, *standing});
  });
}

void ClaimStore::look_up(const ClaimKey& key, ClaimDone done) {
  ledger_.read(key.ledger_key(), [done](Result<ledger::OptionalValue> result) {
    if (!succeeded(result)) {
      done(error_of(result));
      return;
    }
    if (!value_of(result)) {
      done(Error{ErrorKind::not_found, "no claim for this key"});
      return;
    }
    const auto standing = wire::decode_record<wire::ClaimRecordT>(*value_of(result));
    if (!standing) {
      done(Error{ErrorKind::corrupted, "the claim record cannot be decoded"});
      return;
    }
    done(ClaimResult{false, *standing});
  });
}

void ClaimStore::record_answer(const ClaimKey& key, std::uint64_t attempt, unsigned http_status,
                               const std::string& body, Finished done) {
  transition(key, attempt, wire::ClaimState::Done, http_status, body, kTransitionTries, std::move(done));
}

void ClaimStore::release(const ClaimKey& key, std::uint64_t attempt, Finished done) {
  transition(key, attempt, wire::ClaimState::Released, 0, "", kTransitionTries, std::move(done));
}

void ClaimStore::transition(const ClaimKey& key, std::uint64_t attempt, wire::ClaimState state, unsigned http_status,
                            const std::string& body, unsigned tries_left, Finished done) {
  const auto update = [attempt, state, http_status,
                       body](const ledger::OptionalValue& current) -> ledger::OptionalValue {
    if (!current) {
      return std::nullopt;
    }
    auto standing = wire::decode_record<wire::ClaimRecordT>(*current);
    if (!standing || standing->attempt != attempt || standing->state != wire::ClaimState::Claimed) {
      return std::nullopt;
    }
    standing->state = state;
    standing->http_status = http_status;
    standing->body = body;
    return wire::encode_record(*standing);
  };
  ledger_.change(
      key.ledger_key(), update,
      [this, key, attempt, state, http_status, body, tries_left, done](Result<ledger::OptionalValue> result) {
        if (succeeded(result) || tries_left <= 1) {
          done(succeeded(result));
          return;
        }
        environment_.after(kTransitionPause, lifetime_.guard([=, this] {
          transition(key, attempt, state, http_status, body, tries_left - 1, done);
        }));
      });
}

}  // namespace madderdeck::routing
