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
  void flush(std::function<void(Status)> done) override;

 private:
  struct Implementation;
  explicit RocksDbStorage(std::shared_ptr<Implementation> implementation);
  static void start_flush(const std::shared_ptr<Implementation>& implementation);

  std::shared_ptr<Implementation> implementation_;
};

/// Who a disk folder is.
struct disk_identity {
  std::string id;
  bool is_new = false;   ///< It was made now: the disk holds nothing of any group, whatever lies in the folder.
  const char* why = "";  ///< Of a new one: what was missing. For operators.
};

/// Reads the identity of the disk folder, making one where there is none.
/// @return ErrorKind::storage_unwritable when the folder cannot be written.
Result<disk_identity> load_disk_id(const std::string& folder, std::uint64_t random);

}  // namespace madderdeck::ledger
