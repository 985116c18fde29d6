#pragma once
/// @file Named counters and gauges of one node. Each limit, retry and drop has a separate counter.

#include <cstdint>
#include <map>
#include <string>

namespace madderdeck {

/// Value of a metric: a counter only increases, a gauge can be set to any value.
using CounterValue = std::int64_t;

/// Registry of named values. Not thread safe; references to values stay valid for the lifetime of the registry.
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
