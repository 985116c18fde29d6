#pragma once
/// @file Reads the body of a back end's answer and tells how it ended.

#include <cstdint>
#include <string_view>

#include "forwarding/answer_end.hpp"
#include "forwarding/event_splitter.hpp"
#include "forwarding/upstream.hpp"

namespace madderdeck::forwarding {

/// The body of one answer after the other. Not thread safe.
class answer_reader {
 public:
  /// The head of an answer has come.
  void begin(const AnswerHead& head);
  /// Reads bytes of the body; of a stream, calls @p on_event for each event that they complete.
  void read(std::string_view piece, const EventSplitter::OnEvent& on_event);
  /// @return how the answer ended, once its bytes have ended as its framing says.
  answer_end end() const;

  net::body_framing framing() const { return framing_; }
  /// @return whole events read.
  std::uint64_t events() const { return events_; }
  /// @return bytes read.
  std::uint64_t bytes() const { return bytes_; }
  /// @return what has come of a stream after its last whole event.
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
