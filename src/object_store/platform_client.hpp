#pragma once
/// @file The platform's object API and machine list, as the controller sees them.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "common/error.hpp"
#include "config/versioned_table.hpp"

namespace madderdeck::object_store {

/// An object of the source that cannot be read; what was known of it before stands.
struct RejectedObject {
  config::EntryKey key;
  std::uint64_t revision = 0;
  Error reason;
};

/// Changes of a source after a revision, in revision order.
struct ChangeList {
  std::uint64_t since = 0;
  std::uint64_t up_to = 0;
  std::vector<config::Entry> entries;
  std::vector<RejectedObject> rejected;
  bool complete = false;  ///< The entries are all there are; what is not among them is gone.
};
using ChangesDone = std::function<void(Result<ChangeList>)>;

/// An object as the store holds it.
struct StoredObject {
  config::Entry entry;
  std::string change_id;  ///< Given by whoever wrote this revision.
};
using GetDone = std::function<void(Result<std::optional<StoredObject>>)>;

/// A compare-and-set of one object.
struct PutRequest {
  config::EntryKey key;
  std::string body;
  bool remove = false;
  std::uint64_t expected_revision = 0;  ///< 0: the object must not exist.
  std::string change_id;
};
/// New revision; ErrorKind::conflict when another revision stands; ErrorKind::ambiguous when
/// no answer came back; ErrorKind::unavailable when nothing was sent.
using PutDone = std::function<void(Result<std::uint64_t>)>;

/// Body of the entry of a retirement that is completed.
inline constexpr char kCompletedRetirement[] = R"({"state":"completed"})";

/// How far the emptying of a node is.
enum class RetirementState { running, completed };
using ReportDone = std::function<void(Status)>;

/// Connection to the platform. Callbacks never run inside the starting call.
class PlatformClient {
 public:
  virtual ~PlatformClient() = default;
  /// Waits up to @p wait for changes after @p since.
  virtual void watch_objects(std::uint64_t since, Duration wait, ChangesDone done) = 0;
  virtual void watch_machines(std::uint64_t since, Duration wait, ChangesDone done) = 0;
  /// @return whether the replica groups have a revision order of their own. Otherwise they are
  ///         among the objects.
  virtual bool has_group_source() const { return false; }
  virtual void watch_groups(std::uint64_t /*since*/, Duration /*wait*/, ChangesDone /*done*/) {}
  /// @return whether operators ask through the platform for ledger nodes to be emptied.
  virtual bool has_retirements() const { return false; }
  /// Waits up to @p wait for requests after @p since; the entries' names are nodes, and the body of one that is
  /// completed is kCompletedRetirement.
  virtual void watch_retirements(std::uint64_t /*since*/, Duration /*wait*/, ChangesDone /*done*/) {}
  /// @return whether operators ask through the platform for zones to be evacuated.
  virtual bool has_evacuations() const { return false; }
  /// Waits up to @p wait for changes after @p since; an entry stands for as long as the zone of its name is to get no
  /// requests.
  virtual void watch_evacuations(std::uint64_t /*since*/, Duration /*wait*/, ChangesDone /*done*/) {}
  /// Tells how far the emptying of @p node is.
  virtual void report_retirement(const NodeId& /*node*/, RetirementState /*state*/, ReportDone /*done*/) {}
  virtual void get(const config::EntryKey& key, GetDone done) = 0;
  virtual void put(const PutRequest& request, PutDone done) = 0;
};

}  // namespace madderdeck::object_store
