#pragma once
/// @file Keeps which places in replica groups a disk has consented to take. No disk becomes a member without its
/// consent to that very epoch. A disk that has consented to an epoch that is not decided yet is not removed as drained.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/groups.hpp"
#include "ledger/storage.hpp"

namespace madderdeck::ledger {

/// A place in a group offered to a disk that is not a member in the current epoch.
struct place_offer {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;  ///< The epoch that would name the disk.
  ReplicaIdentity disk;
  /// The offer stands even if the disk is being drained: the group has no other disk to use.
  bool although_retiring = false;
  /// Set if the disk is a member that is to decide alone: the other member, which is considered unreachable.
  std::optional<ReplicaIdentity> gives_up;
};

/// A consent to an epoch that is not known to be decided.
struct open_place {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  auto operator<=>(const open_place&) const = default;
};

/// @return the name used in logs and counters.
const char* name_of(wire::PlaceConsent answer);

/// Consents last as long as the disk: they are stored before they are given. Owned by a replica, single-threaded.
class place_consents {
 public:
  explicit place_consents(Storage& storage) : storage_(storage) {}

  /// Loads the consents from the disk. Until this has succeeded, every offer is declined.
  /// @return ErrorKind::corrupted or ErrorKind::unavailable where the disk cannot be read.
  Status restore();
  /// Discards the loaded state, since the disk may no longer hold it. restore() has to be called before the next
  /// consent.
  void forget();

  /// Answers @p offer. A consent is durable once the storage has been flushed.
  /// @param self the disk that is asked
  /// @param known_epoch the latest epoch of the group that is known to be decided; zero: none
  wire::PlaceConsent answer(const place_offer& offer, const ReplicaIdentity& self, std::uint64_t known_epoch);
  /// @return the epoch of the latest consent to a place in @p group; zero: none.
  std::uint64_t given_for(std::uint32_t group) const;
  /// @return the latest consent for each group.
  const std::map<std::uint32_t, std::uint64_t>& given() const { return given_; }

  /// Called when draining of the disk begins.
  void begin_draining() { emptying_ = true; }
  /// Called when the disk may be removed with its contents: from now on, also after a restart, every offer is declined.
  /// Durable once the storage has been flushed.
  void note_emptied();
  /// Called when the disk is not to be drained after all.
  void cancel_draining();
  /// Called when the process begins to shut down.
  void begin_stopping() { stopping_ = true; }

 private:
  void store(std::uint32_t group, std::uint64_t epoch);
  void store_emptied(bool emptied);

  Storage& storage_;
  std::map<std::uint32_t, std::uint64_t> given_;  ///< The latest epoch consented to, by group.
  bool restored_ = false;
  bool emptying_ = false;
  bool emptied_ = false;
  bool disk_stays_ = false;  ///< The disk is known not to be drained: a stored mark that it was drained is removed.
  bool stopping_ = false;
};

}  // namespace madderdeck::ledger
