#pragma once
/// @file Splits a server-sent event stream into the data of its events.

#include <functional>
#include <string>
#include <string_view>

namespace madderdeck::net {

/// Accepts pieces of the stream as they arrive and calls back with the data of each complete event.
class SseReader {
 public:
  /// Bytes without a complete event that has data; a stream with more is malformed.
  static constexpr std::size_t kMaxBytesWithoutEvent = 1024 * 1024;

  explicit SseReader(std::function<void(std::string_view data)> on_event) : on_event_(std::move(on_event)) {}

  void feed(std::string_view piece) {
    bytes_without_event_ += piece.size();
    std::size_t start = 0;
    // The empty line may have begun with the last byte of the piece before.
    std::size_t search_from = buffer_.empty() ? 0 : buffer_.size() - 1;
    buffer_.append(piece);
    for (std::size_t end = buffer_.find(kEventEnd, search_from); end != std::string::npos;
         end = buffer_.find(kEventEnd, search_from)) {
      const std::string_view event(buffer_.data() + start, end - start);
      start = end + kEventEnd.size();
      search_from = start;
      if (event.starts_with(kDataField)) {
        bytes_without_event_ = 0;
        on_event_(event.substr(kDataField.size()));
      }
    }
    buffer_.erase(0, start);
  }
  /// @return whether more bytes have come since the last event than an event may have.
  bool is_endless() const { return bytes_without_event_ > kMaxBytesWithoutEvent; }

 private:
  static constexpr std::string_view kDataField = "data: ";
  static constexpr std::string_view kEventEnd = "\n\n";
  std::function<void(std::string_view)> on_event_;
  std::string buffer_;
  std::size_t bytes_without_event_ = 0;
};

inline constexpr std::string_view kSseDone = "[DONE]";

}  // namespace madderdeck::net
