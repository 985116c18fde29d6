#pragma once
/// @file Reads the body of a back end's answer and determines how it ended.

#include <cstdint>
#include <string_view>

#include "forwarding/answer_end.hpp"
#include "forwarding/event_splitter.hpp"
#include "forwarding/upstream.hpp"

namespace madderdeck::forwarding {

/// Reads the body of one answer at a time; begin() starts the next one. Not thread safe.
class answer_reader {
 public:
  /// Bytes of an event stream without a complete event; a stream with more is malformed.
  static constexpr std::size_t kMaxBytesWithoutEvent = 1024 * 1024;

  /// Resets the reader for the answer that begins with @p head.
  void begin(const AnswerHead& head);
  /// Reads bytes of the body; for an event stream, calls @p on_event for each event that they complete.
  void read(std::string_view piece, const EventSplitter::OnEvent& on_event);
  /// @return how the answer ended. To be called once the body has ended according to its framing.
  answer_end end() const;

  net::body_framing framing() const { return framing_; }
  /// @return number of complete events read.
  std::uint64_t events() const { return events_; }
  /// @return whether more bytes of an event stream have come since its last event than an event may have. Comments are
  ///         no events.
  bool is_endless() const { return bytes_without_event_ > kMaxBytesWithoutEvent; }
  /// @return whether bytes of an event stream have come and none of its events: lines that are no event, or a part of
  ///         one.
  bool lacks_event() const { return event_stream_ && bytes_ > 0 && !has_event_; }
  /// @return number of bytes read.
  std::uint64_t bytes() const { return bytes_; }
  /// @return the bytes of an event stream received after its last complete event.
  std::string_view unfinished() const { return splitter_.unfinished(); }

 private:
  net::body_framing framing_ = net::body_framing::length;
  bool event_stream_ = false;
  bool succeeded_ = false;
  bool has_event_ = false;  ///< One with a number or data.
  std::uint64_t events_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t bytes_without_event_ = 0;
  EventSplitter splitter_;
};

}  // namespace madderdeck::forwarding
