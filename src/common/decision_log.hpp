#pragma once
/// @file Interface through which decision logic logs for on-call engineers: one record for each decision that
/// affects a request or changes the node's view of the fleet. The daemon writes the records as JSON lines.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace madderdeck {

/// Value of a field in a decision record.
using DecisionValue = std::variant<std::string_view, std::int64_t, double, bool>;

/// A named input or result of a decision. The name includes the unit ("left_ms").
struct DecisionField {
  std::string_view name;
  DecisionValue value;

  DecisionField(std::string_view field, std::string_view text) : name(field), value(text) {}
  DecisionField(std::string_view field, const std::string& text) : name(field), value(std::string_view(text)) {}
  DecisionField(std::string_view field, const char* text) : name(field), value(std::string_view(text)) {}
  DecisionField(std::string_view field, bool flag) : name(field), value(flag) {}
  DecisionField(std::string_view field, double number) : name(field), value(number) {}
  template <class Integer>
  requires std::is_integral_v<Integer> DecisionField(std::string_view field, Integer number)
      : name(field), value(static_cast<std::int64_t>(number)) {}
};

/// Receives decision records. Implementations never block the caller. Not thread safe.
class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  virtual void record(std::string_view event, std::initializer_list<DecisionField> fields) = 0;
};

/// Discards all records; for tests and simulations that need no log.
class NoDecisionLog : public DecisionLog {
 public:
  void record(std::string_view, std::initializer_list<DecisionField>) override {}
};

}  // namespace madderdeck
