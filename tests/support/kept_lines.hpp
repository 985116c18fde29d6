#pragma once
/// @file A decision log for tests: keeps its lines as text.

#include <algorithm>
#include <string>
#include <vector>

#include "common/decision_log.hpp"

namespace madderdeck::tests {

/// Keeps lines as "event field=value ...".
class kept_lines : public DecisionLog {
 public:
  void record(std::string_view event, std::initializer_list<DecisionField> fields) override {
    std::string line(event);
    for (const DecisionField& field : fields) {
      line +=
          " " + std::string(field.name) + "=" + std::visit([](const auto& value) { return text(value); }, field.value);
    }
    lines.push_back(std::move(line));
  }
  std::size_t count(const std::string& event) const {
    return static_cast<std::size_t>(std::count_if(
        lines.begin(), lines.end(), [&event](const std::string& line) { return line.starts_with(event + " "); }));
  }

  std::vector<std::string> lines;

 private:
  static std::string text(std::string_view value) { return std::string(value); }
  static std::string text(bool value) { return value ? "true" : "false"; }
  template <class Number>
  static std::string text(Number value) {
    return std::to_string(value);
  }
};

}  // namespace madderdeck::tests
