#include "object_store/declarations.hpp"

#include "common/hash.hpp"

namespace madderdeck::object_store {
namespace {
constexpr Duration kSettleTimeout = 5s;
constexpr Duration kRetryDelay = 200ms;
/// Additional wait for a missing reply; a client of the store reports a failed call within this time.
constexpr Duration kReplyTimeout = 4s;
}  // namespace

Declarations::Declarations(Environment& environment, Counters& counters, PlatformClient& platform,
                           DeclarationGuards guards)
    : environment_(environment), counters_(counters), platform_(platform), guards_(guards) {}

void Declarations::declare(PutRequest request, Done done) {
  const ChangeNumber number = ++next_;
  request.change_id = hex64(environment_.random()) + hex64(environment_.random());
  pending_.emplace(number, Pending{std::move(request), std::move(done), environment_.now() + kSettleTimeout, false});
  environment_.after(kSettleTimeout + kReplyTimeout, lifetime_.guard([this, number] { end_unanswered(number); }));
  try_put(number);
}

void Declarations::end_unanswered(ChangeNumber number) {
  if (pending_.contains(number)) {
    counters_["declarations_unanswered_total"]++;
    finish(number, Error{ErrorKind::ambiguous, "the platform's store did not reply"});
  }
}

void Declarations::try_put(ChangeNumber number) {
  platform_.put(pending_.at(number).request, lifetime_.guard([this, number](Result<std::uint64_t> result) {
    const auto entry = pending_.find(number);
    if (entry == pending_.end()) {
      return;
    }
    Pending& pending = entry->second;
    if (succeeded(result)) {
      counters_["declarations_accepted_total"]++;
      finish(number, std::move(result));
      return;
    }
    const ErrorKind kind = error_of(result).kind;
    if (kind == ErrorKind::ambiguous) {
      counters_["declarations_ambiguous_total"]++;
      if (!guards_.resolve_ambiguous_writes) {
        finish(number, pending.request.expected_revision + 1);
        return;
      }
      pending.maybe_applied = true;
      retry(number, &Declarations::read_back);
    } else if (kind == ErrorKind::conflict && pending.maybe_applied) {
      read_back(number);  // the conflict may be with this change's own earlier write
    } else if (kind == ErrorKind::unavailable) {
      retry(number, &Declarations::try_put);
    } else {
      counters_["declarations_conflicts_total"]++;
      finish(number, std::move(result));
    }
  }));
}

void Declarations::read_back(ChangeNumber number) {
  platform_.get(
      pending_.at(number).request.key, lifetime_.guard([this, number](Result<std::optional<StoredObject>> result) {
        const auto entry = pending_.find(number);
        if (entry == pending_.end()) {
          return;
        }
        Pending& pending = entry->second;
        if (!succeeded(result)) {
          retry(number, &Declarations::read_back);
          return;
        }
        const auto& stored = value_of(result);
        if (stored && stored->change_id == pending.request.change_id) {
          finish(number, stored->entry.revision);
          return;
        }
        const std::uint64_t standing = stored && !stored->entry.deleted ? stored->entry.revision : 0;
        if (standing == pending.request.expected_revision) {
          // Not applied yet; repeating the same compare-and-set can take effect only once.
          retry(number, &Declarations::try_put);
          return;
        }
        // Another write is current; this one may have been applied and overwritten.
        finish(number, Error{ErrorKind::ambiguous, "another change stands at revision " + std::to_string(standing) +
                                                       "; this one may have preceded it"});
      }));
}

void Declarations::retry(ChangeNumber number, void (Declarations::*step)(ChangeNumber)) {
  Pending& pending = pending_.at(number);
  if (environment_.now() + kRetryDelay >= pending.deadline) {
    const ErrorKind kind = pending.maybe_applied ? ErrorKind::ambiguous : ErrorKind::unavailable;
    finish(number, Error{kind, "the platform's store does not answer"});
    return;
  }
  environment_.after(kRetryDelay, lifetime_.guard([this, number, step] {
    if (pending_.contains(number)) {
      (this->*step)(number);
    }
  }));
}

void Declarations::finish(ChangeNumber number, Result<std::uint64_t> result) {
  auto node = pending_.extract(number);
  node.mapped().done(std::move(result));
}

}  // namespace madderdeck::object_store
