#pragma once
/// @file Cuts an event stream into whole events with their numbers.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace madderdeck::forwarding {

/// One event: its bytes with the empty line that ends it, and its fields.
struct StreamEvent {
  std::string_view bytes;
  std::uint64_t number = 0;  ///< Of its id field; 0 when it has none.
  std::string data;          ///< Data lines, joined by line feeds.
};

/// Feed it pieces as they arrive. Not thread safe.
class EventSplitter {
 public:
  using OnEvent = std::function<void(const StreamEvent&)>;

  /// Calls @p on_event for each event that @p piece completes.
  void feed(std::string_view piece, const OnEvent& on_event);
  /// @return whether the stream stands between two events; empty lines there belong to none.
  bool at_boundary() const { return buffer_.find_first_not_of("\r\n") == std::string::npos; }
  /// @return what has come after the last whole event.
  std::string_view unfinished() const { return buffer_; }
  void reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace madderdeck::forwarding
