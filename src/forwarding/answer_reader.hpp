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
  /// Resets the reader for the answer that begins with @p head.
  void begin(const AnswerHead& head);
  /// Reads bytes of the body; for an event stream, calls @p on_event for each event that they complete.
  void read(std::string_view piece, const EventSplitter::OnEvent& on_event);
  /// @return how the answer ended. To be called once the body has ended according to its framing.
  answer_end end() const;

  net::body_framing framing() const { return framing_; }
  /// @return number of complete events read.
  std::uint64_t events() const { return events_; }
  /// @return number of bytes read.
  std::uint64_t bytes() const { return bytes_; }
  /// @return the bytes of an event stream received after its last complete event.
  std::string_view unfinished() const { return splitter_.unfinished(); }

 private:
  net::body_framing framing_ = net::body_framing::length;
  bool event_stream_ = false;
  bool succeeded_ = false;
  std::uint64_t events_ = 0;
  std::uint64_t bytes_ = 0;
  EventSplitter splitter_;
};

}  // namespace madderdeck::forwarding
