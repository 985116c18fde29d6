#pragma once
/// @file Model of the platform: versioned objects with compare-and-set and watches, and the
/// list of machines. The emulator serves it over HTTP, the simulation calls it directly.

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::emulator {

/// One versioned table with waiting readers. Single threaded.
class WatchedTable {
 public:
  explicit WatchedTable(Environment& environment) : environment_(environment) {}

  /// Stores an entry under the next revision and wakes readers after @p lag.
  std::uint64_t store(config::Entry entry, const std::string& change_id, Duration lag);
  const object_store::StoredObject* find(const config::EntryKey& key) const;
  /// @return changes after @p since that are visible by now.
  object_store::ChangeList changes_after(std::uint64_t since) const;
  /// Answers at once when there is something new, otherwise after @p wait.
  void watch(std::uint64_t since, Duration wait, std::function<void(object_store::ChangeList)> done);
  std::size_t watchers() const { return waiting_.size(); }
  std::uint64_t revision() const { return revision_; }

 private:
  struct Waiting {
    std::uint64_t number = 0;
    std::uint64_t since = 0;
    std::function<void(object_store::ChangeList)> done;
  };
  void wake();

  Environment& environment_;
  std::map<config::EntryKey, object_store::StoredObject> objects_;
  std::uint64_t revision_ = 0;
  std::uint64_t visible_ = 0;  ///< Readers see nothing after this revision.
  std::list<Waiting> waiting_;
  std::uint64_t next_number_ = 0;
  Lifetime lifetime_;
};

/// A token bucket in bytes: the weight store.
class WeightStore {
 public:
  WeightStore(Environment& environment, double bytes_per_second) : environment_(environment), rate_(bytes_per_second) {}
  /// @return how long a download of @p bytes has to wait for its turn; zero when it may start.
  Duration reserve(std::uint64_t bytes);

 private:
  Environment& environment_;
  const double rate_;
  Timestamp free_at_{};
};

/// Compare-and-set on @p table as the object API defines it.
Result<std::uint64_t> compare_and_set(WatchedTable& table, const object_store::PutRequest& request);

}  // namespace madderdeck::emulator
