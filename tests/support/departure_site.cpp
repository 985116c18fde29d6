#include "support/departure_site.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::tests {
namespace {

using wire::Message;

constexpr unsigned kDisks = 3;
constexpr std::size_t kMaintainers = 2;
constexpr Duration kFounded = 8s;
constexpr Duration kLook = 10ms;
constexpr Duration kRecovered = 20s;

std::string name_of(unsigned node) { return "node-" + std::to_string(node); }

std::uint64_t weight_of(unsigned node) { return rendezvous_weight("store-reader", name_of(node)); }

/// @return the first of @p candidates by their rank.
std::vector<unsigned> first_ranked(std::vector<unsigned> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](unsigned one, unsigned other) { return weight_of(one) > weight_of(other); });
  candidates.resize(std::min(candidates.size(), kMaintainers));
  return candidates;
}

/// @return whether a gateway of @p nodes looks after the groups, whichever disk is added.
bool gateways_maintain(unsigned nodes) {
  std::vector<unsigned> all(nodes + 1);
  for (unsigned number = 0; number <= nodes; ++number) {
    all[number] = number;
  }
  const auto first = first_ranked(all);
  return std::all_of(first.begin(), first.end(), [nodes](unsigned node) { return node >= kDisks && node < nodes; });
}

template <class Members>
void leave_out(Members& members, const std::string& id) {
  std::erase_if(members, [&id](const auto& member) { return member->id == id; });
}

/// Takes what tells of the node @p about out of @p message.
/// @return whether something is left to deliver.
bool strip_word(wire::MessageUnion& message, bool sent_by_it, const std::string& about) {
  switch (message.type) {
    case Message::Ping:
      leave_out(message.AsPing()->updates, about);
      return !sent_by_it;
    case Message::Ack:
      leave_out(message.AsAck()->updates, about);
      return !sent_by_it;
    case Message::MemberSync:
      leave_out(message.AsMemberSync()->members, about);
      return !sent_by_it;
    case Message::PingRequest:
    case Message::MemberDigests:
      return !sent_by_it;
    default:
      return true;
  }
}

bool tells_epochs(Message type) {
  static const std::set<Message> kTypes = {Message::AdoptGroup,        Message::Promise,     Message::Accepted,
                                           Message::ScanReply,         Message::CopyRequest, Message::CopyReply,
                                           Message::CopyStatus,        Message::TableDelta,  Message::Prepare,
                                           Message::CopyStatusRequest, Message::Accept,      Message::ScanRequest};
  return kTypes.contains(type);
}

/// @return the text between @p name and @p next in @p line; to its end where @p next is empty.
std::string field_of(const std::string& line, const std::string& name, const std::string& next) {
  const std::size_t begin = line.find(" " + name + "=");
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t first = begin + name.size() + 2;
  const std::size_t end = next.empty() ? std::string::npos : line.find(" " + next + "=", first);
  return line.substr(first, end == std::string::npos ? end : end - first);
}

}  // namespace

line_sink::int_type line_sink::overflow(int_type character) {
  if (character == '\n') {
    on_line(std::exchange(line_, {}));
  } else {
    line_.push_back(static_cast<char>(character));
  }
  return character;
}

simulation::Profile departure_site::profile_of(const shape& shape) {
  simulation::Profile profile;
  profile.nodes = kDisks + shape.gateways;
  profile.engines = 1;
  profile.services = 1;
  profile.loss_percent = 0;
  profile.late_percent = 0;
  profile.loss_series = true;  // the deployed program's times
  while (!shape.disks_may_maintain && !gateways_maintain(profile.nodes)) {
    ++profile.nodes;
  }
  return profile;
}

departure_site::departure_site(const shape& shape)
    : world(shape.seed), fleet(world, oracle, profile_of(shape), shape.guards, &decisions) {
  sink.on_line = [this](const std::string& line) { take_line(line); };
  fleet.conditions.duplicate_percent = 0;
  fleet.passes = [this](unsigned from, unsigned to, wire::Incoming& incoming) { return pass(from, to, incoming); };
  if (shape.four_disks) {
    fleet.start_node(fleet.add_successor(0));
  }
}

void departure_site::found() { wait(kFounded); }

unsigned departure_site::add_spare() {
  const unsigned spare = fleet.add_successor(0);
  fleet.start_node(spare);
  return spare;
}

std::vector<unsigned> departure_site::maintainers() const {
  std::vector<unsigned> present;
  for (unsigned number = 0; number < fleet.nodes.size(); ++number) {
    if (!fleet.nodes[number]->removed) {
      present.push_back(number);
    }
  }
  return first_ranked(present);
}

// --- what a node hears ------------------------------------------------------------------------

void departure_site::withhold_word(unsigned node, unsigned about) {
  tell("does not hear about " + name_of(about), node);
  withheld_words_.insert({node, about});
}

void departure_site::tell_words(unsigned node) {
  tell("hears about all", node);
  std::erase_if(withheld_words_, [node](const auto& pair) { return pair.first == node; });
}

void departure_site::withhold_epochs(unsigned node) {
  tell("does not hear of epochs", node);
  withheld_epochs_.insert(node);
  fleet.conditions.platform_cuts.insert(node);
}

void departure_site::tell_epochs(unsigned node) {
  tell("hears of epochs", node);
  withheld_epochs_.erase(node);
  fleet.conditions.platform_cuts.erase(node);
}

void departure_site::hold(unsigned node, holding which) { holdings_[node] = std::move(which); }

void departure_site::release(unsigned node) {
  holdings_.erase(node);
  release(node, [](const wire::MessageUnion&) { return true; });
}

void departure_site::release(unsigned node, const std::function<bool(const wire::MessageUnion&)>& which) {
  for (wire::Incoming& message : std::exchange(held_[node], {})) {
    if (!which(message.body)) {
      held_[node].push_back(std::move(message));
    } else if (fleet.nodes[node]->life.core) {
      fleet.core(node).handle(message);
    }
  }
}

void departure_site::cut_off(unsigned node) {
  for (unsigned other = 0; other < fleet.nodes.size(); ++other) {
    if (other != node) {
      fleet.conditions.cuts.insert({std::min(node, other), std::max(node, other)});
    }
  }
}

void departure_site::reconnect(unsigned node) {
  std::erase_if(fleet.conditions.cuts, [node](const auto& pair) { return pair.first == node || pair.second == node; });
}

void departure_site::reconnect(unsigned one, unsigned other) {
  fleet.conditions.cuts.erase({std::min(one, other), std::max(one, other)});
}

bool departure_site::pass(unsigned from, unsigned to, wire::Incoming& incoming) {
  if (withheld_epochs_.contains(to) && from != to && tells_epochs(incoming.body.type)) {
    return false;
  }
  for (const auto& [node, about] : withheld_words_) {
    if (node == to && from != to && !strip_word(incoming.body, from == about, name_of(about))) {
      return false;
    }
  }
  const auto holding = holdings_.find(to);
  if (holding != holdings_.end() && from != to && holding->second(from, incoming.body)) {
    held_[to].push_back(std::move(incoming));
    return false;
  }
  return true;
}

// --- what happens -----------------------------------------------------------------------------

void departure_site::freeze(unsigned node) {
  tell("frozen, loses messages", node);
  cut_off(node);
  fleet.suspend_node(node);
}

void departure_site::freeze_with_backlog(unsigned node) {
  tell("frozen", node);
  fleet.suspend_node(node);
}

void departure_site::thaw(unsigned node) {
  tell("thawed", node);
  reconnect(node);
  fleet.wake_node(node);
}

void departure_site::depart(unsigned node) {
  fleet.crash_node(node);
  fleet.remove_machine(node);
  tell("departed", node);
}

void departure_site::lose_disk(unsigned node) {
  fleet.lose_disk(node);
  tell("lost its disk", node);
}

bool departure_site::wait_until(const std::function<bool()>& condition, Duration patience) {
  const Timestamp end = world.now() + patience;
  while (!condition() && world.now() < end) {
    world.run_for(kLook);
  }
  return condition();
}

void departure_site::recover() {
  withheld_words_.clear();
  while (!withheld_epochs_.empty()) {
    tell_epochs(*withheld_epochs_.begin());
  }
  while (!holdings_.empty()) {
    release(holdings_.begin()->first);
  }
  fleet.conditions.cuts.clear();
  fleet.conditions.platform_cuts.clear();
  for (unsigned node = 0; node < fleet.nodes.size(); ++node) {
    fleet.wake_node(node);
    fleet.start_node(node);
  }
  wait(kRecovered);
}

// --- judgement --------------------------------------------------------------------------------

std::string departure_site::identity_of(unsigned node) const {
  return name_of(node) + "/" + fleet.nodes[node]->disk_id;
}

bool departure_site::is_member(unsigned node) const {
  return std::any_of(latest_.begin(), latest_.end(), [identity = identity_of(node)](const auto& entry) {
    return entry.second.members.find(identity) != std::string::npos;
  });
}

bool departure_site::is_named(unsigned node) const {
  const bool leaves = std::any_of(latest_.begin(), latest_.end(), [identity = identity_of(node)](const auto& entry) {
    return entry.second.leaving.find(identity) != std::string::npos;
  });
  return leaves || is_member(node);
}

void departure_site::tell(const std::string& event, unsigned node) {
  account_ += std::to_string(world.now() / 1ms) + " ms " + name_of(node) + " " + event + "\n";
}

void departure_site::note(departure_fault fault, const std::string& what) {
  ++faults_[fault];
  account_ += std::to_string(world.now() / 1ms) + " ms FAULT " + what + "\n";
}

void departure_site::take_line(const std::string& line) {
  const bool decided =
      line.find(" group_changed ") != std::string::npos && field_of(line, "outcome", "ground") == "decided";
  const bool retirement =
      line.find(" retirement_begun ") != std::string::npos || line.find(" retirement_completed ") != std::string::npos;
  if (decided || retirement) {
    account_ += line + "\n";
  }
  if (decided) {
    take_epoch(line);
  } else if (line.find(" epoch_adopted ") != std::string::npos) {
    take_epoch(line);
  } else if (line.find(" retirement_completed ") != std::string::npos) {
    take_completion(line);
  }
}

void departure_site::take_epoch(const std::string& line) {
  const auto group = static_cast<std::uint32_t>(std::stoul(field_of(line, "group", "from_epoch")));
  const std::uint64_t epoch = std::stoull(line.substr(line.find(" epoch=") + 7));
  decided_epoch& latest = latest_[group];
  if (epoch <= latest.epoch) {
    return;
  }
  latest = {epoch, field_of(line, "members", "leaving"), field_of(line, "leaving", "granted")};
  for (const std::string& identity : completed_) {
    if (latest.members.find(identity) != std::string::npos) {
      note(departure_fault::named_after_completed, "group " + std::to_string(group) + " epoch " +
                                                       std::to_string(epoch) + " names the emptied " + identity + ": " +
                                                       latest.members);
    }
  }
}

void departure_site::take_completion(const std::string& line) {
  const std::string identity =
      identity_of(static_cast<unsigned>(std::stoul(line.substr(line.find("node=node-") + 10))));
  completed_.insert(identity);
  for (const auto& [group, latest] : latest_) {
    if (latest.members.find(identity) != std::string::npos) {
      note(departure_fault::completed_while_named, "emptied while group " + std::to_string(group) + " epoch " +
                                                       std::to_string(latest.epoch) + " names " + identity);
    }
  }
}

void departure_site::judge() {
  for (const auto& [group, latest] : latest_) {
    const auto members = static_cast<std::size_t>(std::count(latest.members.begin(), latest.members.end(), '/'));
    std::size_t existing = 0;
    for (unsigned node = 0; node < fleet.nodes.size(); ++node) {
      const bool exists = fleet.nodes[node]->has_disk && !fleet.nodes[node]->removed;
      existing += exists && latest.members.find(identity_of(node)) != std::string::npos ? 1 : 0;
    }
    if (existing < members / 2 + 1) {
      note(departure_fault::no_majority, "group " + std::to_string(group) + " epoch " + std::to_string(latest.epoch) +
                                             " has " + std::to_string(existing) + " of " + std::to_string(members) +
                                             " members: " + latest.members);
    }
  }
}

}  // namespace madderdeck::tests
