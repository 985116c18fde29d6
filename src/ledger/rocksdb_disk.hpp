#pragma once
/// @file The identity of a disk folder, which is valid exactly as long as its records are.

#include <cstdint>
#include <memory>
#include <string>

#include "ledger/rocksdb_storage.hpp"

namespace madderdeck::ledger {

/// Why a disk folder was given a new identity.
enum class NewIdentityReason {
  none,                      ///< The folder has kept its identity.
  empty_folder,              ///< The folder held neither an identity nor records.
  records_gone,              ///< The folder held an identity, but no records of it.
  records_of_another_disk,   ///< The identity file differs from the identity in the database.
  records_without_identity,  ///< The records were written by an earlier version and the identity file is missing.
};
/// @return the stable name of @p reason, for logs.
std::string_view new_identity_reason_name(NewIdentityReason reason);

/// An open disk folder.
struct OpenedDisk {
  std::unique_ptr<RocksDbStorage> storage;
  std::string identity;
  NewIdentityReason reason = NewIdentityReason::none;
  std::string former_identity;  ///< Identity that the folder had before a new one was made; may be empty.
  std::string former_records;   ///< Folder to which records of another identity were moved; empty: there were none.
  bool identity_file_made =
      false;  ///< The identity file was missing and was restored from the identity in the database.
  std::uint64_t log_bytes =
      0;  ///< Size of the database's log, which is read when the database is opened; 0 if unknown.
};

/// Opens or creates the database in @p folder. The identity is stored in a file and in the database, where it is synced
/// before any record. Records that do not belong to the identity are moved aside and not served.
/// @param random random number from which a new identity is made
/// @return ErrorKind::corrupted if the identity file is empty or truncated, or the database is damaged;
///         ErrorKind::unavailable if either cannot be read now; ErrorKind::storage_unwritable.
Result<OpenedDisk> open_disk(const std::string& folder, std::uint64_t random, const Executors& executors);

}  // namespace madderdeck::ledger
