#include "forwarding/answer_reader.hpp"

namespace madderdeck::forwarding {
namespace {
constexpr unsigned kFirstRedirect = 300;
}  // namespace

void answer_reader::begin(const AnswerHead& head) {
  framing_ = head.framing;
  event_stream_ = head.event_stream;
  succeeded_ = head.status < kFirstRedirect;
  has_event_ = false;
  events_ = 0;
  bytes_ = 0;
  bytes_without_event_ = 0;
  splitter_.reset();
}

void answer_reader::read(std::string_view piece, const EventSplitter::OnEvent& on_event) {
  bytes_ += piece.size();
  if (!event_stream_) {
    return;
  }
  bytes_without_event_ += piece.size();
  splitter_.feed(piece, [this, &on_event](const StreamEvent& event) {
    ++events_;
    has_event_ = has_event_ || event.has_fields;
    bytes_without_event_ = event.has_fields ? 0 : bytes_without_event_;
    on_event(event);
  });
}

answer_end answer_reader::end() const {
  if (event_stream_ && !splitter_.at_boundary()) {
    return answer_end::inside_event;
  }
  // A back end that terminates right after it sent the head closes its connection in the same way as one whose body
  // is empty.
  const bool nothing_came = event_stream_ ? events_ == 0 : bytes_ == 0;
  const bool end_is_stated = framing_ != net::body_framing::until_close;
  return succeeded_ && nothing_came && !end_is_stated ? answer_end::empty : answer_end::whole;
}

}  // namespace madderdeck::forwarding
