#pragma once
/// @file Splits an event stream into complete events with their numbers.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace madderdeck::forwarding {

/// One event: its bytes with the empty line that ends it, and its fields.
struct StreamEvent {
  std::string_view bytes;
  std::uint64_t number = 0;  ///< Value of its id field; 0 when it has none.
  std::string data;          ///< Data lines, joined by line feeds.
  bool has_fields = false;   ///< It has a number or data; comments alone are no progress.
};

/// Splits a stream that arrives in pieces. Not thread safe.
class EventSplitter {
 public:
  using OnEvent = std::function<void(const StreamEvent&)>;

  /// Calls @p on_event for each event that @p piece completes.
  void feed(std::string_view piece, const OnEvent& on_event);
  /// @return whether the bytes fed so far end between two events. Empty lines between events belong to no event.
  bool at_boundary() const { return buffer_.find_first_not_of("\r\n") == std::string::npos; }
  /// @return the bytes after the last complete event.
  std::string_view unfinished() const { return buffer_; }
  void reset() {
    buffer_.clear();
    searched_ = 0;
  }

 private:
  std::string buffer_;
  std::size_t searched_ = 0;  ///< No event ends at a line feed before this position of buffer_.
};

}  // namespace madderdeck::forwarding
