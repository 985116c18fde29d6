#include "batch/submission_window.hpp"

#include <algorithm>

namespace madderdeck::batch {
namespace {
/// Weight of the latest job in the smoothed rate.
constexpr double kRateWeight = 0.3;
/// Least interval over which the rate is computed, since jobs stored at the same moment say nothing about the rate.
constexpr Duration kMinRateInterval = 10ms;
}  // namespace

submission_window::submission_window(Environment& environment, Counters& counters, DecisionLog& log,
                                     submission_window_limits limits)
    : environment_(environment),
      counters_(counters),
      log_(log),
      limits_(limits),
      window_bytes_(limits.initial_window_bytes) {
  publish();
}

bool submission_window::has_capacity(std::size_t bytes) {
  if (in_flight_bytes_ == 0 || in_flight_bytes_ + bytes <= window_bytes_) {
    return true;
  }
  counters_["job_submissions_over_window_total"]++;
  log_.record("job_over_window", {{"bytes", bytes},
                                  {"in_flight_bytes", in_flight_bytes_},
                                  {"window_bytes", window_bytes_},
                                  {"retry_after_ms", retry_after() / 1ms}});
  return false;
}

bool submission_window::enter(std::size_t bytes) {
  if (!has_capacity(bytes)) {
    return false;
  }
  add(bytes);
  return true;
}

void submission_window::add(std::size_t bytes) {
  in_flight_bytes_ += bytes;
  publish();
}

void submission_window::leave(std::size_t bytes, Duration took, submission_end end) {
  in_flight_bytes_ -= std::min(bytes, in_flight_bytes_);
  if (end == submission_end::stored) {
    note_rate(bytes, took);
  }
  const bool late = end == submission_end::stored && took > limits_.cut_after;
  if (end == submission_end::failed || late) {
    cut();
  } else if (end == submission_end::stored && took <= limits_.grow_within) {
    grow(bytes);
  }
  publish();
}

void submission_window::note_rate(std::size_t bytes, Duration took) {
  const Timestamp now = environment_.now();
  const Duration interval = std::max(std::min(now - last_stored_at_, took), kMinRateInterval);
  const double rate = static_cast<double>(bytes) / std::chrono::duration<double>(interval).count();
  bytes_per_second_ = bytes_per_second_ == 0 ? rate : bytes_per_second_ + kRateWeight * (rate - bytes_per_second_);
  last_stored_at_ = now;
}

void submission_window::grow(std::size_t bytes) {
  const double part = std::min(1.0, static_cast<double>(bytes) / static_cast<double>(window_bytes_));
  const auto step = static_cast<std::size_t>(part * static_cast<double>(bytes));
  window_bytes_ = std::min(window_bytes_ + step, limits_.max_window_bytes);
}

void submission_window::cut() {
  const Timestamp now = environment_.now();
  if (cut_at_.count() != 0 && now - cut_at_ < limits_.min_cut_interval) {
    return;
  }
  cut_at_ = now;
  window_bytes_ = std::max(window_bytes_ / 2, limits_.min_window_bytes);
  counters_["job_submission_window_cuts_total"]++;
  log_.record("submission_window_cut", {{"window_bytes", window_bytes_}, {"in_flight_bytes", in_flight_bytes_}});
}

Duration submission_window::retry_after() const {
  if (bytes_per_second_ == 0) {
    return limits_.min_retry_after;
  }
  const double seconds = static_cast<double>(in_flight_bytes_) / bytes_per_second_;
  const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return std::clamp(wait, limits_.min_retry_after, limits_.max_retry_after);
}

void submission_window::publish() {
  counters_["job_submission_window_bytes"] = static_cast<CounterValue>(window_bytes_);
  counters_["job_submission_in_flight_bytes"] = static_cast<CounterValue>(in_flight_bytes_);
}

}  // namespace madderdeck::batch
