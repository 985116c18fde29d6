#pragma once
/// @file Storage on a disk, with RocksDB.

#include <functional>
#include <memory>
#include <string>

#include "ledger/storage.hpp"

namespace madderdeck::ledger {

/// How the storage leaves and comes back to its owner's thread.
struct Executors {
  std::function<void(std::function<void()>)> background;  ///< Runs a blocking task elsewhere.
  std::function<void(std::function<void()>)> owner;       ///< Runs a task on the owner's thread.
};

/// The database's folder within the disk folder.
inline constexpr char kRecordsFolder[] = "records";

/// Writes go to the log at once and are synced in groups by a background task.
class RocksDbStorage : public Storage {
 public:
  ~RocksDbStorage() override;

  /// Opens or creates the database in @p folder.
  /// @return ErrorKind::storage_unwritable or ErrorKind::corrupted on failure.
  static Result<std::unique_ptr<RocksDbStorage>> open(const std::string& folder, Executors executors);

  Result<std::optional<wire::Bytes>> get(const std::string& key) const override;
  Status look_at(const std::string& key, const std::function<void(std::string_view value)>& look) const override;
  void put(const std::string& key, const wire::Bytes& value) override;
  void scan(const std::string& prefix, const std::string& after,
            const std::function<bool(std::string_view, std::string_view)>& visit) const override;
  /// Callers that a sync under way covers already share it.
  void flush(std::function<void(Status)> done) override;
  bool has_unflushed() const override;

  /// Writes and syncs before it returns; for the start, where nothing else waits.
  /// @return ErrorKind::storage_unwritable on failure.
  Status put_synced(const std::string& key, const std::string& value);
  /// @return whether there is a key that starts with @p prefix, other than @p besides; ErrorKind::corrupted or
  ///         ErrorKind::unavailable where that cannot be read.
  Result<bool> holds(const std::string& prefix, const std::string& besides = "") const;

 private:
  struct Implementation;
  explicit RocksDbStorage(std::shared_ptr<Implementation> implementation);
  static void start_flush(const std::shared_ptr<Implementation>& implementation);
  static void finish_flush(const std::shared_ptr<Implementation>& implementation, bool synced);

  std::shared_ptr<Implementation> implementation_;
};

}  // namespace madderdeck::ledger
