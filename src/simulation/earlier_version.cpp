#include "simulation/earlier_version.hpp"

namespace madderdeck::simulation {

bool reduce_to_earlier_version(wire::MessageUnion& message) {
  switch (message.type) {
    case wire::Message::RevisionQuestion:
    case wire::Message::RevisionAnswer:
    case wire::Message::SuspicionTaken:
    case wire::Message::StreamRecord:
    case wire::Message::StreamQuestion:
    case wire::Message::StreamAnswer:
      return false;
    case wire::Message::GiveItems:
      for (auto& item : message.AsGiveItems()->items) {
        item->partial_version.clear();
        item->failure = wire::ItemFailure::None;
        item->route_prefix.clear();
        item->routes_version = 0;
      }
      return true;
    case wire::Message::ItemSettled:
      message.AsItemSettled()->partial_version.clear();
      message.AsItemSettled()->failure = wire::ItemFailure::None;
      return true;
    case wire::Message::PlaceRequest:
      message.AsPlaceRequest()->continues = false;
      message.AsPlaceRequest()->software_version.clear();
      return true;
    case wire::Message::CopyStatusRequest:
      message.AsCopyStatusRequest()->place_epoch = 0;
      message.AsCopyStatusRequest()->offered.reset();
      message.AsCopyStatusRequest()->gives_up.reset();
      return true;
    case wire::Message::Prepare:
      message.AsPrepare()->gives_up.reset();
      return true;
    case wire::Message::CopyStatus:
      message.AsCopyStatus()->place_epoch = 0;
      message.AsCopyStatus()->consent = wire::PlaceConsent::NotSaid;
      return true;
    case wire::Message::TablePull:
      message.AsTablePull()->number = 0;
      return true;
    case wire::Message::TableDelta:
      message.AsTableDelta()->number = 0;
      return true;
    case wire::Message::SuspicionNews:
      message.AsSuspicionNews()->number = 0;
      message.AsSuspicionNews()->prompt_parts.clear();
      return true;
    case wire::Message::SuspicionSync:
      message.AsSuspicionSync()->prompt_parts.clear();
      return true;
    case wire::Message::SuspicionDigest:
      message.AsSuspicionDigest()->prompt_part_digest = 0;
      return true;
    default:
      return true;
  }
}

}  // namespace madderdeck::simulation
