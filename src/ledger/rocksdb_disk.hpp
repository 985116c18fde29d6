#pragma once
/// @file The identity of a disk folder, which lasts exactly as long as its records.

#include <cstdint>
#include <memory>
#include <string>

#include "ledger/rocksdb_storage.hpp"

namespace madderdeck::ledger {

/// Why a disk folder was given a new identity.
enum class NewIdentityReason {
  none,                      ///< It has the one that it had before.
  empty_folder,              ///< Neither an identity nor records were here.
  records_gone,              ///< An identity was here, no records of it.
  records_of_another_disk,   ///< The identity beside the records is not the one within them.
  records_without_identity,  ///< Of an earlier version, whose identity has gone.
};
/// @return the stable name of @p reason, for logs.
std::string_view new_identity_reason_name(NewIdentityReason reason);

/// A disk folder that is open.
struct OpenedDisk {
  std::unique_ptr<RocksDbStorage> storage;
  std::string identity;
  NewIdentityReason reason = NewIdentityReason::none;
  std::string former_identity;      ///< Which the folder named before, where it has a new one; may be empty.
  std::string former_records;       ///< Folder that records of another identity were moved to; empty: there were none.
  bool identity_file_made = false;  ///< The file beside the records was missing; made from the identity within them.
  std::uint64_t log_bytes = 0;  ///< Of the database's log, which the opening reads; 0 where that was not to be told.
};

/// Opens the database in @p folder, or makes it. The identity stands in a file and within the database, where it is
/// synced before any record. Records that do not go with the identity are moved aside and not served.
/// @param random a new identity is made of it.
/// @return ErrorKind::corrupted where the identity file is empty or torn, or the database is damaged;
///         ErrorKind::unavailable where either cannot be read now; ErrorKind::storage_unwritable.
Result<OpenedDisk> open_disk(const std::string& folder, std::uint64_t random, const Executors& executors);

}  // namespace madderdeck::ledger
