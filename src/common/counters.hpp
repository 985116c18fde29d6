#pragma once
/// @file Named counters and gauges of one node. Each limit, retry and drop has its own.

#include <cstdint>
#include <map>
#include <string>

namespace madderdeck {

/// A value that grows (counter) or is set (gauge).
using CounterValue = std::int64_t;

/// Registry of named values. Not thread safe; a reference stays valid for the registry's life.
class Counters {
 public:
  /// @param name Prometheus name without the "madderdeck_" prefix; a name that ends in
  ///        "_total" is exported as a counter, any other as a gauge.
  CounterValue& operator[](const std::string& name) { return values_[name]; }
  const std::map<std::string, CounterValue>& values() const { return values_; }

 private:
  std::map<std::string, CounterValue> values_;
};

}  // namespace madderdeck
