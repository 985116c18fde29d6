#include "node/peer_memory.hpp"

namespace madderdeck::node {
namespace {

using membership::remembered_peer;

wire::Bytes encode(const std::vector<remembered_peer>& peers) {
  wire::MemberSyncT list;
  for (const remembered_peer& peer : peers) {
    auto member = std::make_unique<wire::MemberT>();
    member->id = peer.id.str();
    member->peer_address = peer.address.str();
    member->zone = peer.zone;
    member->roles = peer.roles;
    list.members.push_back(std::move(member));
  }
  return wire::encode_record(list);
}

std::vector<remembered_peer> decode(const wire::MemberSyncT& list) {
  std::vector<remembered_peer> peers;
  for (const auto& member : list.members) {
    if (!member->id.empty() && !member->peer_address.empty()) {
      peers.push_back({NodeId(member->id), PeerAddress(member->peer_address), member->zone, member->roles});
    }
  }
  return peers;
}

}  // namespace

peer_memory::peer_memory(Environment& environment, Counters& counters, DecisionLog& log,
                         membership::Membership& members)
    : environment_(environment), counters_(counters), log_(log), members_(members) {}

void peer_memory::store_in(ledger::Storage& storage) {
  const bool first = storage_ == nullptr;
  storage_ = &storage;
  if (!read_) {
    read();
  }
  if (first) {
    environment_.after(kCheckInterval, lifetime_.guard([this] { write_if_changed(); }));
  }
}

void peer_memory::read() {
  const Result<std::optional<wire::Bytes>> stored = storage_->get(kKey);
  if (!succeeded(stored)) {
    note_unread(error_of(stored));
    read_ = error_of(stored).kind == ErrorKind::corrupted;
    return;
  }
  read_ = true;
  const std::optional<wire::Bytes>& bytes = value_of(stored);
  if (!bytes) {
    return;
  }
  const auto list = wire::decode_record<wire::MemberSyncT>(*bytes);
  if (!list) {
    note_unread(Error{ErrorKind::corrupted, "the record is not a list of members"});
    return;
  }
  members_.recall(decode(*list));
  log_.record("peers_remembered", {{"peers", members_.remembered().size()}});
}

void peer_memory::note_unread(const Error& error) {
  counters_["membership_peers_unread_total"]++;
  log_.record("peers_not_read", {{"error", error_kind_name(error.kind)}, {"detail", error.detail}});
}

void peer_memory::write_if_changed() {
  environment_.after(kCheckInterval, lifetime_.guard([this] { write_if_changed(); }));
  const bool rests = written_at_ && environment_.now() - *written_at_ < kMinWriteInterval;
  const bool changed = members_.version() != seen_version_ || !stored_;
  if (!read_ || rests || !changed) {
    return;
  }
  seen_version_ = members_.version();
  std::vector<remembered_peer> peers = membership::choose_peers(members_, members_.remembered());
  if (peers != members_.remembered() || !stored_) {
    members_.remember(std::move(peers));
    write();
  }
}

void peer_memory::write() {
  written_at_ = environment_.now();
  stored_ = false;
  counters_["membership_peers_written_total"]++;
  storage_->put(kKey, encode(members_.remembered()));
  storage_->flush(lifetime_.guard([this](const Status& flushed) {
    stored_ = succeeded(flushed);
    if (!stored_ && !failure_logged_) {
      log_.record("peers_not_stored",
                  {{"error", error_kind_name(error_of(flushed).kind)}, {"peers", members_.remembered().size()}});
    }
    failure_logged_ = !stored_;
  }));
}

}  // namespace madderdeck::node
