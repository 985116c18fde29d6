#pragma once
/// @file What decision logic tells on-call engineers: one record for each decision that touches
/// a request or changes what the node believes. The daemon writes them as JSON lines.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace madderdeck {

/// A value of a decision's field.
using DecisionValue = std::variant<std::string_view, std::int64_t, double, bool>;

/// One named input or outcome. Names carry their unit ("left_ms").
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

/// Takes decisions. Implementations never block the caller. Not thread safe.
class DecisionLog {
 public:
  virtual ~DecisionLog() = default;
  virtual void record(std::string_view event, std::initializer_list<DecisionField> fields) = 0;
};

/// Drops everything; for tests and simulations that need no log.
class NoDecisionLog : public DecisionLog {
 public:
  void record(std::string_view, std::initializer_list<DecisionField>) override {}
};

}  // namespace madderdeck
