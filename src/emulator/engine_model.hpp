#pragma once
/// @file Model of an engine: continuous batching, priorities, prefix cache, lagging reports.
/// The emulator serves it over HTTP, the simulation calls it under virtual time.

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "common/environment.hpp"
#include "routing/backend.hpp"

namespace madderdeck::emulator {

/// Costs and capacity of an engine.
struct EngineProfile {
  std::uint32_t slots = 16;             ///< Sequences decoded together.
  Duration step = 8ms;                  ///< Decode step of an empty batch.
  Duration step_per_sequence = 100us;   ///< Added for each sequence of the batch.
  double prefill_tokens_per_ms = 40;    ///< Prompt tokens that are not cached.
  std::uint32_t kv_tokens = 200'000;    ///< KV cache capacity.
  std::uint32_t cached_blocks = 2'000;  ///< Prefix blocks kept.
  Duration report_lag = 300ms;
  Duration cache_event_lag = 500ms;
  double cache_event_loss = 0.02;  ///< Share of cache events that never appear.
  bool preempts = true;            ///< Whether a live request takes a batch sequence's slot.
  double slow_factor = 1.0;        ///< A sick engine's steps take this many times as long.
};

/// A generation as the engine takes it.
struct Generation {
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  std::uint32_t resume_from = 0;
  routing::Priority priority = routing::Priority::online;
};
struct GenerationEvents {
  std::function<void(std::uint32_t offset, const std::string& text)> token;
  std::function<void(std::uint32_t total)> finished;
};
using GenerationId = std::uint64_t;

/// Why an engine does not take a generation; it certainly did not run.
enum class EngineRefusal { leaving, model_not_loaded, queue_full };

/// A fenced order of the controllers.
struct EngineOrder {
  std::uint64_t fence = 0;
  enum class Action { load, unload, set_role } action = Action::load;
  std::string model;  ///< Model, adapter or role.
  std::string version;
};

/// A change of the prefix cache, published late.
struct CacheEvent {
  std::uint64_t sequence = 0;
  std::uint64_t block = 0;
  bool stored = true;
};

/// What the engine did so far.
struct EngineTotals {
  std::uint64_t prefill_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t decoded_tokens = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t online_steps_behind_batch = 0;  ///< Steps with a live request waiting while batch held a slot.
  Duration longest_wait_behind_batch{};         ///< Of a live request while batch held a slot.
};

/// @return token number @p offset of the answer to @p prompt; the same on every engine.
std::string token_text(const std::string& prompt, std::uint32_t offset);
/// @return the whole answer, for checking.
std::string full_answer(const std::string& prompt, std::uint32_t tokens);

/// Single threaded.
class EngineModel {
 public:
  EngineModel(Environment& environment, EngineProfile profile, std::set<std::string> models);

  std::variant<GenerationId, EngineRefusal> submit(Generation generation, GenerationEvents events);
  void cancel(GenerationId id);
  /// @return load as it was EngineProfile::report_lag ago.
  routing::LoadReport report();
  /// @return whether the order was carried out; a fence below the highest seen is refused.
  bool order(const EngineOrder& order);
  void set_leaving(bool leaving) { leaving_ = leaving; }
  bool leaving() const { return leaving_; }
  EngineProfile& profile() { return profile_; }
  const EngineTotals& totals() const { return totals_; }
  void reset_longest_wait() { totals_.longest_wait_behind_batch = Duration::zero(); }
  const std::map<std::string, std::string>& models() const { return models_; }
  /// @return published cache events after @p since.
  std::vector<CacheEvent> cache_events(std::uint64_t since) const;
  /// @return prefix blocks of a running generation, to be imported elsewhere.
  std::vector<std::uint64_t> export_blocks(GenerationId id) const;
  void import_blocks(const std::vector<std::uint64_t>& blocks);
  /// Drops everything at once, as a crash does; no events follow.
  void reset();
  std::size_t running(routing::Priority priority) const;
  /// @return whether a generation with @p prompt runs or waits here.
  bool holds(const std::string& prompt) const;

 private:
  struct Sequence {
    GenerationId id = 0;
    Generation generation;
    GenerationEvents events;
    std::uint32_t produced = 0;  ///< Offset of the next token.
    std::uint32_t kv_tokens = 0;
    std::uint64_t admitted = 0;
    Timestamp queued_at{};
    bool prefilled = false;
  };
  struct Snapshot {
    Timestamp at{};
    routing::LoadReport report;
  };

  void schedule_step();
  void step();
  void admit();
  bool make_room_for_online();
  std::uint32_t prefill(Sequence& sequence);
  void touch_block(std::uint64_t block);
  void publish(std::uint64_t block, bool stored);
  void record_snapshot();
  static std::vector<std::uint64_t> blocks_of(const std::string& prompt);
  std::uint32_t kv_in_use() const;

  Environment& environment_;
  EngineProfile profile_;
  std::map<std::string, std::string> models_;  ///< name to version
  std::uint64_t highest_fence_ = 0;
  bool leaving_ = false;
  GenerationId next_id_ = 0;
  std::uint64_t admissions_ = 0;
  std::deque<Sequence> waiting_online_;
  std::deque<Sequence> waiting_batch_;
  std::vector<Sequence> running_;
  bool stepping_ = false;
  std::uint64_t era_ = 0;  ///< Raised by reset; steps of an older era do nothing.
  std::list<std::uint64_t> cache_order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::vector<CacheEvent> cache_events_;
  std::vector<Timestamp> cache_event_times_;
  std::uint64_t cache_sequence_ = 0;
  std::deque<Snapshot> snapshots_;
  EngineTotals totals_;
  Lifetime lifetime_;
};

}  // namespace madderdeck::emulator
