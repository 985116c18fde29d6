#include "forwarding/event_splitter.hpp"

#include <charconv>

namespace madderdeck::forwarding {
namespace {

/// @return the value of a "name: value" line, without the one optional space before it.
std::string_view field_value(std::string_view line, std::string_view name) {
  std::string_view value = line.substr(name.size());
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

StreamEvent parse_event(std::string_view bytes) {
  constexpr std::string_view kId = "id:";
  constexpr std::string_view kData = "data:";
  StreamEvent event;
  event.bytes = bytes;
  bool has_data = false;
  bool has_id = false;
  for (std::size_t start = 0; start < bytes.size();) {
    std::size_t end = bytes.find('\n', start);
    end = end == std::string_view::npos ? bytes.size() : end;
    std::string_view line = bytes.substr(start, end - start);
    start = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kId)) {
      const std::string_view value = field_value(line, kId);
      std::from_chars(value.data(), value.data() + value.size(), event.number);
      has_id = true;
    } else if (line.starts_with(kData)) {
      event.data.append(has_data ? "\n" : "").append(field_value(line, kData));
      has_data = true;
    }
  }
  event.has_fields = has_id || has_data;
  return event;
}

/// An empty line is recognized by its last two or three bytes, of which the last may be still to come.
constexpr std::size_t kEmptyLineBytes = 3;

/// @return the position after the first empty line whose preceding line feed is at @p start or later, or npos.
std::size_t end_of_event(std::string_view text, std::size_t start) {
  for (std::size_t end = text.find('\n', start); end != std::string_view::npos; end = text.find('\n', end + 1)) {
    if (text.substr(end + 1).starts_with('\n')) {
      return end + 2;
    }
    if (text.substr(end + 1).starts_with("\r\n")) {
      return end + 3;
    }
  }
  return std::string_view::npos;
}

}  // namespace

void EventSplitter::feed(std::string_view piece, const OnEvent& on_event) {
  buffer_.append(piece);
  std::string text;
  std::swap(text, buffer_);  // a callback may reset this splitter
  std::size_t start = 0;
  for (std::size_t end = end_of_event(text, searched_); end != std::string::npos; end = end_of_event(text, start)) {
    on_event(parse_event(std::string_view(text).substr(start, end - start)));
    start = end;
  }
  text.erase(0, start);
  std::swap(text, buffer_);
  searched_ = buffer_.size() < kEmptyLineBytes ? 0 : buffer_.size() - kEmptyLineBytes;
}

}  // namespace madderdeck::forwarding
