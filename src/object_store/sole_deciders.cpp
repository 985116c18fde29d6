#include "object_store/sole_deciders.hpp"

#include <memory>
#include <utility>

namespace madderdeck::object_store {
namespace {

config::EntryKey key_of(std::uint32_t group, std::uint64_t epoch) {
  return {kSoleDeciderKind, "group-" + std::to_string(group) + "-epoch-" + std::to_string(epoch)};
}

/// Reply timeout; a client of the store reports a failed call within this time.
constexpr Duration kReplyTimeout = 4s;

std::string name_of(const ledger::ReplicaIdentity& member) { return member.node.str() + " " + member.disk.str(); }

}  // namespace

sole_deciders::sole_deciders(Environment& environment, Declarations& declarations, PlatformClient& platform)
    : environment_(environment), declarations_(declarations), platform_(platform) {}

void sole_deciders::grant(std::uint32_t group, std::uint64_t epoch, const ledger::ReplicaIdentity& member,
                          granted done) {
  PutRequest request;
  request.key = key_of(group, epoch);
  request.body = name_of(member);
  const auto written = [this, key = request.key, wanted = request.body, done](const Result<std::uint64_t>& result) {
    if (succeeded(result)) {
      done(Ok{});
    } else if (error_of(result).kind == ErrorKind::conflict || error_of(result).kind == ErrorKind::ambiguous) {
      // A decider is already named: by another node, or by an earlier request whose reply was lost.
      read_back(key, wanted, done);
    } else {
      done(error_of(result));
    }
  };
  declarations_.declare(std::move(request), lifetime_.guard(written));
}

void sole_deciders::read_back(const config::EntryKey& key, const std::string& wanted, granted done) {
  // Runs the callback once: on the reply or on its timeout.
  const auto reply_once = [waiting = std::make_shared<granted>(std::move(done))](const Status& status) {
    if (const granted told = std::exchange(*waiting, nullptr)) {
      told(status);
    }
  };
  environment_.after(kReplyTimeout, lifetime_.guard([reply_once] {
    reply_once(Error{ErrorKind::unavailable, "the platform's store did not reply"});
  }));
  const auto take = [wanted, done = reply_once](const Result<std::optional<StoredObject>>& result) {
    if (!succeeded(result)) {
      done(error_of(result));
    } else if (!value_of(result)) {
      done(Error{ErrorKind::unavailable, "the store names no sole decider yet"});
    } else if (value_of(result)->entry.body != wanted) {
      done(Error{ErrorKind::conflict, "the store names another sole decider: " + value_of(result)->entry.body});
    } else {
      done(Ok{});
    }
  };
  platform_.get(key, lifetime_.guard(take));
}

}  // namespace madderdeck::object_store
