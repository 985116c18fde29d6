#pragma once
/// @file Ordered key-value storage below a ledger replica.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.hpp"
#include "wire/codec.hpp"

namespace madderdeck::ledger {

/// A write is visible to reads at once, but durable only after the next flush. A power loss before that may keep or
/// lose it, independent of the writes around it. Not thread-safe; callbacks run on the owner's thread.
class Storage {
 public:
  virtual ~Storage() = default;

  /// @return the value; nothing when the key is absent; ErrorKind::corrupted when its bytes are damaged.
  virtual Result<std::optional<wire::Bytes>> get(const std::string& key) const = 0;
  /// Calls @p look with the value in place, without a copy, unless the key is absent. Fails like get().
  virtual Status look_at(const std::string& key, const std::function<void(std::string_view value)>& look) const;
  virtual void put(const std::string& key, const wire::Bytes& value) = 0;
  struct Entry {
    std::string key;
    wire::Bytes value;
  };
  /// Writes @p entries atomically.
  virtual void put_atomically(const std::vector<Entry>& entries) = 0;
  /// Calls @p visit for each key that starts with @p prefix and is greater than @p after, in order, until it returns
  /// false.
  /// @return ErrorKind::corrupted or ErrorKind::unavailable when reading stops at an error: there may be more keys.
  virtual Status scan(const std::string& prefix, const std::string& after,
                      const std::function<bool(std::string_view key, std::string_view value)>& visit) const = 0;
  /// Runs @p done once everything written so far survives the loss of the process. Callers that arrive during a flush
  /// share the next one (group commit).
  virtual void flush(std::function<void(Status)> done) = 0;
  /// @return whether a power loss may lose any write.
  virtual bool has_unflushed() const = 0;
};

inline Status Storage::look_at(const std::string& key, const std::function<void(std::string_view)>& look) const {
  const auto found = get(key);
  if (!succeeded(found)) {
    return error_of(found);
  }
  if (const auto& bytes = value_of(found)) {
    look(std::string_view(reinterpret_cast<const char*>(bytes->data()), bytes->size()));
  }
  return Ok{};
}

}  // namespace madderdeck::ledger
