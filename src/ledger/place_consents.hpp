#pragma once
/// @file Which places in replica groups a disk has consented to take. No disk becomes a member without its consent to
/// that very epoch, and a disk with a consent whose epoch is not decided yet is not taken away as emptied.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/groups.hpp"
#include "ledger/storage.hpp"

namespace madderdeck::ledger {

/// A place that a disk is to take, which is no member of the present epoch.
struct place_offer {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;  ///< The one that would name the disk.
  ReplicaIdentity disk;
  bool although_retiring = false;  ///< Also where the disk is to be emptied: the group has no other one to go to.
  /// The disk is a member, which is to decide alone: this other one is taken for silent.
  std::optional<ReplicaIdentity> gives_up;
};

/// A consent whose epoch is not known to be decided.
struct open_place {
  std::uint32_t group = 0;
  std::uint64_t epoch = 0;
  auto operator<=>(const open_place&) const = default;
};

/// @return the name that logs and counters show.
const char* name_of(wire::PlaceConsent answer);

/// Consents last as long as the disk: they are written before they are given. Owned by a replica, single threaded.
class place_consents {
 public:
  explicit place_consents(Storage& storage) : storage_(storage) {}

  /// Takes up what the disk holds. Until that has succeeded no place is taken.
  /// @return ErrorKind::corrupted or ErrorKind::unavailable where the disk cannot be read.
  Status restore();
  /// What was read may not be on the disk any more: restore() is to be called before the next consent.
  void forget();

  /// Answers @p offer; a consent is durable once the storage has been flushed.
  /// @param self the disk that is asked
  /// @param known_epoch the latest one of the group that is known to be decided; zero: none
  wire::PlaceConsent answer(const place_offer& offer, const ReplicaIdentity& self, std::uint64_t known_epoch);
  /// @return the consent to a place in @p group that was given last; zero: none.
  std::uint64_t given_for(std::uint32_t group) const;
  /// @return the latest consent for each group.
  const std::map<std::uint32_t, std::uint64_t>& given() const { return given_; }

  /// The disk is to be emptied.
  void begin_emptying() { emptying_ = true; }
  /// The disk may be taken away with all it holds: no place is taken any more, after a restart neither. Durable once
  /// the storage has been flushed.
  void note_emptied();
  /// The disk stays after all.
  void keep_disk();
  /// The process was told to stop.
  void begin_stopping() { stopping_ = true; }

 private:
  void store(std::uint32_t group, std::uint64_t epoch);
  void store_emptied(bool emptied);

  Storage& storage_;
  std::map<std::uint32_t, std::uint64_t> given_;  ///< The latest epoch for each group.
  bool restored_ = false;
  bool emptying_ = false;
  bool emptied_ = false;
  bool stays_ = false;  ///< It has been told that the disk is not to be emptied: a mark that says so is taken back.
  bool stopping_ = false;
};

}  // namespace madderdeck::ledger
