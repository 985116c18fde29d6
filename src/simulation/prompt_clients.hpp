#pragma once
/// @file Clients whose prompts share parts, some of which crash the engines that begin to write an answer on them.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulation/fleet.hpp"

namespace madderdeck::simulation {

/// Where a prompt has the part that crashes engines.
enum class fatal_place { middle, first };

/// What callers of sound requests with one first part got, at the first attempt.
struct sound_share {
  std::uint64_t sent = 0;
  std::uint64_t began = 0;

  void add(const sound_share& other) {
    sent += other.sent;
    began += other.began;
  }
};

/// Single threaded; everything happens in virtual time.
class prompt_clients {
 public:
  prompt_clients(World& world, SimFleet& fleet, Oracle& oracle) : world_(world), fleet_(fleet), oracle_(oracle) {}

  /// Sends a request whose first part is the common one, and whose second one is one of many.
  void send_sound(unsigned node, std::uint32_t choice);
  /// Sends a request with the fatal part number @p part. Its client comes back @p repeats times at other nodes.
  void send_fatal(unsigned node, std::uint32_t part, fatal_place place, unsigned repeats);
  /// @return what callers of sound requests got while no part had crashed an engine yet.
  const sound_share& before_crashes() const { return before_; }
  /// @return the same from kKnownAfter after the last crash that tells the part on (Oracle::telling_part_crash).
  const sound_share& after_telling_crash() const { return after_; }

 private:
  struct sound_call;

  std::shared_ptr<forwarding::ForwardedRequest> make_request(const std::vector<std::string>& parts);
  void begin_fatal(unsigned node, const std::vector<std::string>& parts, const std::string& body, unsigned repeats);
  /// @return where the result of a sound request counts that is sent now; null where it counts nowhere.
  sound_share* share_now(unsigned node);

  World& world_;
  SimFleet& fleet_;
  Oracle& oracle_;
  std::uint64_t number_ = 0;
  sound_share before_;
  sound_share after_;
};

}  // namespace madderdeck::simulation
