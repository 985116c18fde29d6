#pragma once
/// @file Clients that resume a stream which broke off, at another node, and judge which software versions wrote it.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "simulation/fleet.hpp"

namespace madderdeck::simulation {

/// How a client names the attempt that brought its first event when it resumes a stream.
enum class resume_claim { right, missing, unknown, of_another_stream, of_another_tenant };

/// Single threaded; everything happens in virtual time.
class stream_clients {
 public:
  stream_clients(World& world, SimFleet& fleet, Oracle& oracle) : world_(world), fleet_(fleet), oracle_(oracle) {}

  /// Sends a resumable stream to @p node. Its client breaks off by chance, and resumes up to three times.
  void send(unsigned node);

 private:
  struct client;
  using client_pointer = std::shared_ptr<client>;

  void begin_attempt(const client_pointer& one, unsigned node);
  void on_events(const client_pointer& one, std::uint64_t attempt, std::string_view bytes);
  void cancel(unsigned node, forwarding::ForwardId forward, std::uint64_t node_life);
  void end_attempt(const client_pointer& one, std::uint64_t attempt, bool finished);
  void on_refused(const client_pointer& one, std::uint64_t attempt, const routing::Refusal& refusal);
  void resume_later(const client_pointer& one);
  /// Notices that the node has ended or hangs.
  void watch(const client_pointer& one, std::uint64_t attempt, std::uint64_t node_life);
  std::string claimed_attempt(const client& one) const;
  resume_claim draw_claim();
  /// @return whether nothing but the end of the node of the stream's first event may have kept its version from the
  ///         others.
  bool version_must_be_known(const client& one) const;

  World& world_;
  SimFleet& fleet_;
  Oracle& oracle_;
  std::vector<client_pointer> clients_;
  std::uint64_t number_ = 0;
};

}  // namespace madderdeck::simulation
