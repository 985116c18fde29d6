#pragma once
/// @file Splits a server-sent event stream into the data of its events.

#include <functional>
#include <string>
#include <string_view>

namespace madderdeck::net {

/// Accepts pieces of the stream as they arrive and calls back with the data of each complete event.
class SseReader {
 public:
  explicit SseReader(std::function<void(std::string_view data)> on_event) : on_event_(std::move(on_event)) {}

  void feed(std::string_view piece) {
    buffer_.append(piece);
    std::size_t start = 0;
    for (std::size_t end = buffer_.find("\n\n"); end != std::string::npos; end = buffer_.find("\n\n", start)) {
      const std::string_view event(buffer_.data() + start, end - start);
      start = end + 2;
      if (event.starts_with(kDataField)) {
        on_event_(event.substr(kDataField.size()));
      }
    }
    buffer_.erase(0, start);
  }

 private:
  static constexpr std::string_view kDataField = "data: ";
  std::function<void(std::string_view)> on_event_;
  std::string buffer_;
};

inline constexpr std::string_view kSseDone = "[DONE]";

}  // namespace madderdeck::net
