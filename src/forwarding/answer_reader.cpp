#include "forwarding/answer_reader.hpp"

namespace madderdeck::forwarding {

void answer_reader::begin(net::body_framing framing, bool event_stream) {
  framing_ = framing;
  event_stream_ = event_stream;
  events_ = 0;
  bytes_ = 0;
  splitter_.reset();
}

void answer_reader::read(std::string_view piece, const EventSplitter::OnEvent& on_event) {
  bytes_ += piece.size();
  if (!event_stream_) {
    return;
  }
  splitter_.feed(piece, [this, &on_event](const StreamEvent& event) {
    ++events_;
    on_event(event);
  });
}

answer_end answer_reader::end() const {
  return event_stream_ && !splitter_.at_boundary() ? answer_end::inside_event : answer_end::whole;
}

}  // namespace madderdeck::forwarding
