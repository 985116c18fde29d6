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

/// An object of the source that cannot be parsed; its previous version stays in force.
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
  bool complete = false;  ///< The list is complete; objects that are not in it do not exist.
};
using ChangesDone = std::function<void(Result<ChangeList>)>;

/// An object as the store holds it.
struct StoredObject {
  config::Entry entry;
  std::string change_id;  ///< Set by the writer of this revision.
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
/// New revision; ErrorKind::conflict when another revision is current; ErrorKind::ambiguous when
/// no reply arrived; ErrorKind::unavailable when nothing was sent.
using PutDone = std::function<void(Result<std::uint64_t>)>;

/// Body of the entry of a completed retirement (draining of a node's disk).
inline constexpr char kCompletedRetirement[] = R"({"state":"completed"})";

/// Progress of the draining of a node.
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
  /// @return whether the list of back ends states the versions of their software. A back end that states none is then
  /// of
  ///         an unknown version; otherwise versions play no part.
  virtual bool states_software_versions() const { return false; }
  /// @return whether operators can request through the platform that ledger nodes are drained.
  virtual bool has_retirements() const { return false; }
  /// Waits up to @p wait for requests after @p since; the names of the entries are node ids, and a completed request
  /// has the body kCompletedRetirement.
  virtual void watch_retirements(std::uint64_t /*since*/, Duration /*wait*/, ChangesDone /*done*/) {}
  /// @return whether operators can request through the platform that zones are evacuated.
  virtual bool has_evacuations() const { return false; }
  /// Waits up to @p wait for changes after @p since; an entry exists while the zone that it names is to get no
  /// requests.
  virtual void watch_evacuations(std::uint64_t /*since*/, Duration /*wait*/, ChangesDone /*done*/) {}
  /// Reports the progress of draining @p node.
  virtual void report_retirement(const NodeId& /*node*/, RetirementState /*state*/, ReportDone /*done*/) {}
  virtual void get(const config::EntryKey& key, GetDone done) = 0;
  virtual void put(const PutRequest& request, PutDone done) = 0;
};

}  // namespace madderdeck::object_store
