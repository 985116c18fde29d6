#include "forwarding/answer_end.hpp"

namespace madderdeck::forwarding {

std::string_view answer_end_name(answer_end end) {
  switch (end) {
    case answer_end::whole:
      return "whole";
    case answer_end::inside_event:
      return "inside_event";
    case answer_end::empty:
      return "empty";
    case answer_end::closed:
      return "closed";
    case answer_end::reset:
      return "reset";
    case answer_end::unforwardable:
      return "unforwardable";
    case answer_end::malformed:
      return "malformed";
    case answer_end::too_long:
      return "too_long";
    case answer_end::silent:
      return "silent";
    case answer_end::out_of_order:
      return "out_of_order";
    case answer_end::given_up:
      return "given_up";
    case answer_end::caller_gone:
      return "caller_gone";
    case answer_end::unanswered:
      break;
  }
  return "unanswered";
}

}  // namespace madderdeck::forwarding
