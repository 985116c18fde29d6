#include "batch/submission_window.hpp"

#include <algorithm>

namespace madderdeck::batch {
namespace {
/// Weight of the latest job in the smoothed rate.
constexpr double kRateWeight = 0.3;
/// Lower bound of the interval over which the rate is measured, for jobs that are stored at the same moment.
constexpr Duration kLeastInterval = 10ms;
}  // namespace

submission_window::submission_window(Environment& environment, Counters& counters, DecisionLog& log,
                                     submission_window_limits limits)
    : environment_(environment), counters_(counters), log_(log), limits_(limits), window_(limits.first_bytes) {
  publish();
}

bool submission_window::has_room(std::size_t bytes) {
  if (in_flight_ == 0 || in_flight_ + bytes <= window_) {
    return true;
  }
  counters_["job_submissions_over_window_total"]++;
  log_.record("job_over_window", {{"bytes", bytes},
                                  {"in_flight_bytes", in_flight_},
                                  {"window_bytes", window_},
                                  {"retry_after_ms", retry_after() / 1ms}});
  return false;
}

bool submission_window::enter(std::size_t bytes) {
  if (!has_room(bytes)) {
    return false;
  }
  add(bytes);
  return true;
}

void submission_window::add(std::size_t bytes) {
  in_flight_ += bytes;
  publish();
}

void submission_window::leave(std::size_t bytes, Duration took, submission_end end) {
  in_flight_ -= std::min(bytes, in_flight_);
  if (end == submission_end::stored) {
    note_rate(bytes, took);
  }
  const bool late = end == submission_end::stored && took > limits_.bad_after;
  if (end == submission_end::failed || late) {
    cut();
  } else if (end == submission_end::stored && took <= limits_.good_within) {
    grow(bytes);
  }
  publish();
}

void submission_window::note_rate(std::size_t bytes, Duration took) {
  const Timestamp now = environment_.now();
  const Duration interval = std::max(std::min(now - last_stored_at_, took), kLeastInterval);
  const double rate = static_cast<double>(bytes) / std::chrono::duration<double>(interval).count();
  bytes_per_second_ = bytes_per_second_ == 0 ? rate : bytes_per_second_ + kRateWeight * (rate - bytes_per_second_);
  last_stored_at_ = now;
}

void submission_window::grow(std::size_t bytes) {
  const double part = std::min(1.0, static_cast<double>(bytes) / static_cast<double>(window_));
  const auto step = static_cast<std::size_t>(part * static_cast<double>(bytes));
  window_ = std::min(window_ + step, limits_.most_bytes);
}

void submission_window::cut() {
  const Timestamp now = environment_.now();
  if (cut_at_.count() != 0 && now - cut_at_ < limits_.cut_pause) {
    return;
  }
  cut_at_ = now;
  window_ = std::max(window_ / 2, limits_.least_bytes);
  counters_["job_submission_window_cuts_total"]++;
  log_.record("submission_window_cut", {{"window_bytes", window_}, {"in_flight_bytes", in_flight_}});
}

Duration submission_window::retry_after() const {
  if (bytes_per_second_ == 0) {
    return limits_.least_retry_after;
  }
  const double seconds = static_cast<double>(in_flight_) / bytes_per_second_;
  const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return std::clamp(wait, limits_.least_retry_after, limits_.most_retry_after);
}

void submission_window::publish() {
  counters_["job_submission_window_bytes"] = static_cast<CounterValue>(window_);
  counters_["job_submission_in_flight_bytes"] = static_cast<CounterValue>(in_flight_);
}

}  // namespace madderdeck::batch
