#include "emulator/engine_model.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace madderdeck::emulator {
namespace {
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kTokensPerBlock = 16;
constexpr std::size_t kMaxWaiting = 4096;
constexpr std::size_t kMaxCacheEvents = 10'000;
constexpr std::size_t kMaxSnapshots = 512;

std::uint32_t token_count(const std::string& text) {
  return static_cast<std::uint32_t>(text.size() / kBytesPerToken + 1);
}
}  // namespace

std::string token_text(const std::string& prompt, std::uint32_t offset) {
  constexpr std::uint64_t kWords = 4096;
  return "t" + std::to_string(stable_hash(prompt, offset) % kWords) + " ";
}

std::string full_answer(const std::string& prompt, std::uint32_t tokens) {
  std::string answer;
  for (std::uint32_t offset = 0; offset < tokens; ++offset) {
    answer += token_text(prompt, offset);
  }
  return answer;
}

EngineModel::EngineModel(Environment& environment, EngineProfile profile, std::set<std::string> models)
    : environment_(environment), profile_(profile) {
  for (const std::string& model : models) {
    models_[model] = "1";
  }
}

std::variant<GenerationId, EngineRefusal> EngineModel::submit(Generation generation, GenerationEvents events) {
  if (leaving_) {
    return EngineRefusal::leaving;
  }
  if (!models_.contains(generation.model)) {
    return EngineRefusal::model_not_loaded;
  }
  auto& queue = generation.priority == routing::Priority::online ? waiting_online_ : waiting_batch_;
  if (queue.size() >= kMaxWaiting) {
    return EngineRefusal::queue_full;
  }
  Sequence sequence;
  sequence.id = ++next_id_;
  sequence.produced = generation.resume_from;
  sequence.kv_tokens = token_count(generation.prompt) + generation.max_tokens;
  sequence.generation = std::move(generation);
  sequence.events = std::move(events);
  sequence.queued_at = environment_.now();
  const GenerationId id = sequence.id;
  queue.push_back(std::move(sequence));
  record_snapshot();
  schedule_step();
  return id;
}

void EngineModel::cancel(GenerationId id) {
  const auto matches = [id](const Sequence& sequence) { return sequence.id == id; };
  std::erase_if(waiting_online_, matches);
  std::erase_if(waiting_batch_, matches);
  std::erase_if(running_, matches);
  record_snapshot();
}

void EngineModel::reset() {
  ++era_;
  stepping_ = false;
  waiting_online_.clear();
  waiting_batch_.clear();
  running_.clear();
  cache_.clear();
  cache_order_.clear();
  snapshots_.clear();
}

void EngineModel::schedule_step() {
  if (stepping_) {
    return;
  }
  stepping_ = true;
  admit();
  std::uint32_t prefill_tokens = 0;
  for (Sequence& sequence : running_) {
    if (!sequence.prefilled) {
      prefill_tokens += prefill(sequence);
    }
  }
  const bool batch_holds_slot = running(routing::Priority::batch) > 0;
  if (!waiting_online_.empty() && batch_holds_slot) {
    ++totals_.online_steps_behind_batch;
    const Duration wait = environment_.now() - waiting_online_.front().queued_at;
    totals_.longest_wait_behind_batch = std::max(totals_.longest_wait_behind_batch, wait);
  }
  const double prefill_us = 1000.0 * prefill_tokens / profile_.prefill_tokens_per_ms;
  const double decode_us =
      static_cast<double>(profile_.step.count()) +
      static_cast<double>(profile_.step_per_sequence.count()) * static_cast<double>(running_.size());
  const Duration length(static_cast<Duration::rep>((prefill_us + decode_us) * profile_.slow_factor));
  environment_.after(length, lifetime_.guard([this, era = era_] {
    if (era == era_) {
      stepping_ = false;
      step();
    }
  }));
}

std::uint32_t EngineModel::kv_in_use() const {
  std::uint32_t total = 0;
  for (const Sequence& sequence : running_) {
    total += sequence.kv_tokens;
  }
  return total;
}

void EngineModel::admit() {
  while (!waiting_online_.empty()) {
    const bool fits =
        running_.size() < profile_.slots && kv_in_use() + waiting_online_.front().kv_tokens <= profile_.kv_tokens;
    if (!fits && !make_room_for_online()) {
      return;
    }
    if (!fits) {
      continue;
    }
    running_.push_back(std::move(waiting_online_.front()));
    waiting_online_.pop_front();
    running_.back().admitted = ++admissions_;
  }
  while (!waiting_batch_.empty() && running_.size() < profile_.slots &&
         kv_in_use() + waiting_batch_.front().kv_tokens <= profile_.kv_tokens) {
    running_.push_back(std::move(waiting_batch_.front()));
    waiting_batch_.pop_front();
    running_.back().admitted = ++admissions_;
  }
}

bool EngineModel::make_room_for_online() {
  if (!profile_.preempts) {
    return false;
  }
  auto youngest = running_.end();
  for (auto sequence = running_.begin(); sequence != running_.end(); ++sequence) {
    const bool batch = sequence->generation.priority == routing::Priority::batch;
    if (batch && (youngest == running_.end() || sequence->admitted > youngest->admitted)) {
      youngest = sequence;
    }
  }
  if (youngest == running_.end()) {
    return false;
  }
  youngest->prefilled = false;  // its KV is gone; it is computed again later
  waiting_batch_.push_front(std::move(*youngest));
  running_.erase(youngest);
  ++totals_.preemptions;
  return true;
}

void EngineModel::step() {
  std::vector<Sequence> finished;
  // Events may call back into submit or cancel, so they run on copies after the state is set.
  struct Produced {
    std::uint32_t offset;
    std::string text;
    std::function<void(std::uint32_t, const std::string&)> event;
  };
  std::vector<Produced> produced;
  for (Sequence& sequence : running_) {
    if (sequence.produced < sequence.generation.max_tokens) {
      produced.push_back(
          {sequence.produced, token_text(sequence.generation.prompt, sequence.produced), sequence.events.token});
      ++sequence.produced;
      ++totals_.decoded_tokens;
    }
  }
  for (auto sequence = running_.begin(); sequence != running_.end();) {
    if (sequence->produced >= sequence->generation.max_tokens) {
      finished.push_back(std::move(*sequence));
      sequence = running_.erase(sequence);
    } else {
      ++sequence;
    }
  }
  if (!running_.empty() || !waiting_online_.empty() || !waiting_batch_.empty()) {
    schedule_step();
  }
  record_snapshot();
  for (const Produced& token : produced) {
    token.event(token.offset, token.text);
  }
  for (const Sequence& sequence : finished) {
    sequence.events.finished(sequence.produced);
  }
}

// --- prefix cache ---------------------------------------------------------------------------

std::vector<std::uint64_t> EngineModel::blocks_of(const std::string& prompt) {
  constexpr std::size_t kBlockBytes = kBytesPerToken * kTokensPerBlock;
  std::vector<std::uint64_t> blocks;
  std::uint64_t chain = 0;
  for (std::size_t start = 0; start + kBlockBytes <= prompt.size(); start += kBlockBytes) {
    chain = stable_hash(std::string_view(prompt).substr(start, kBlockBytes), chain);
    blocks.push_back(chain);
  }
  return blocks;
}

std::uint32_t EngineModel::prefill(Sequence& sequence) {
  sequence.prefilled = true;
  const std::vector<std::uint64_t> blocks = blocks_of(sequence.generation.prompt);
  std::uint32_t cached = 0;
  bool unbroken = true;
  for (const std::uint64_t block : blocks) {
    unbroken = unbroken && cache_.contains(block);
    cached += unbroken ? kTokensPerBlock : 0;
    touch_block(block);
  }
  const std::uint32_t total = token_count(sequence.generation.prompt) + sequence.produced;
  const std::uint32_t computed = total > cached ? total - cached : 0;
  totals_.prefill_tokens += computed;
  totals_.cached_tokens += cached;
  return computed;
}

void EngineModel::touch_block(std::uint64_t block) {
  if (const auto known = cache_.find(block); known != cache_.end()) {
    cache_order_.splice(cache_order_.begin(), cache_order_, known->second);
    return;
  }
  cache_order_.push_front(block);
  cache_[block] = cache_order_.begin();
  publish(block, true);
  if (cache_.size() > profile_.cached_blocks) {
    publish(cache_order_.back(), false);
    cache_.erase(cache_order_.back());
    cache_order_.pop_back();
  }
}

void EngineModel::publish(std::uint64_t block, bool stored) {
  constexpr std::uint64_t kScale = 1'000'000;
  ++cache_sequence_;
  if (static_cast<double>(environment_.random() % kScale) < profile_.cache_event_loss * kScale) {
    return;  // a gap
  }
  if (cache_events_.size() >= kMaxCacheEvents) {
    cache_events_.erase(cache_events_.begin(), cache_events_.begin() + kMaxCacheEvents / 2);
    cache_event_times_.erase(cache_event_times_.begin(), cache_event_times_.begin() + kMaxCacheEvents / 2);
  }
  cache_events_.push_back({cache_sequence_, block, stored});
  cache_event_times_.push_back(environment_.now());
}

std::vector<CacheEvent> EngineModel::cache_events(std::uint64_t since) const {
  std::vector<CacheEvent> found;
  for (std::size_t position = 0; position < cache_events_.size(); ++position) {
    const bool published = environment_.now() - cache_event_times_[position] >= profile_.cache_event_lag;
    if (published && cache_events_[position].sequence > since) {
      found.push_back(cache_events_[position]);
    }
  }
  return found;
}

std::vector<std::uint64_t> EngineModel::export_blocks(GenerationId id) const {
  for (const Sequence& sequence : running_) {
    if (sequence.id == id) {
      return blocks_of(sequence.generation.prompt);
    }
  }
  return {};
}

void EngineModel::import_blocks(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    touch_block(block);
  }
}

// --- reports and orders ---------------------------------------------------------------------

std::size_t EngineModel::running(routing::Priority priority) const {
  return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), [priority](const Sequence& sequence) {
    return sequence.generation.priority == priority;
  }));
}

bool EngineModel::holds(const std::string& prompt) const {
  const auto has_prompt = [&prompt](const Sequence& sequence) { return sequence.generation.prompt == prompt; };
  return std::any_of(running_.begin(), running_.end(), has_prompt) ||
         std::any_of(waiting_batch_.begin(), waiting_batch_.end(), has_prompt) ||
         std::any_of(waiting_online_.begin(), waiting_online_.end(), has_prompt);
}

void EngineModel::record_snapshot() {
  routing::LoadReport report;
  report.running_online = static_cast<std::uint32_t>(running(routing::Priority::online));
  report.running_batch = static_cast<std::uint32_t>(running(routing::Priority::batch));
  report.waiting = static_cast<std::uint32_t>(waiting_online_.size());
  snapshots_.push_back({environment_.now(), report});
  while (snapshots_.size() > kMaxSnapshots) {
    snapshots_.pop_front();
  }
}

routing::LoadReport EngineModel::report() {
  while (snapshots_.size() > 1 && environment_.now() - snapshots_[1].at >= profile_.report_lag) {
    snapshots_.pop_front();
  }
  routing::LoadReport report = snapshots_.empty() ? routing::LoadReport{} : snapshots_.front().report;
  report.leaving = leaving_;
  return report;
}

bool EngineModel::order(const EngineOrder& order) {
  if (order.fence < highest_fence_) {
    return false;
  }
  highest_fence_ = order.fence;
  if (order.action == EngineOrder::Action::load) {
    models_[order.model] = order.version;
  } else if (order.action == EngineOrder::Action::unload) {
    models_.erase(order.model);
  }
  return true;
}

}  // namespace madderdeck::emulator
