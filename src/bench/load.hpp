#pragma once
/// @file Open-loop load with checked answers: live calls, bookings and batch jobs.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/http_session.hpp"
#include "bench/samples.hpp"

namespace madderdeck::bench {

/// What all kinds of load share.
struct LoadTarget {
  HttpSession& http;
  std::vector<std::string> gateways;
  std::string api_key;
  std::chrono::steady_clock::time_point origin = std::chrono::steady_clock::now();

  double now_s() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - origin).count(); }
};

/// Picks exponential gaps between arrivals.
class ArrivalClock {
 public:
  explicit ArrivalClock(std::uint64_t seed) : generator(seed) {}
  /// @return seconds until the next arrival at @p rate a second.
  double gap(double rate) { return std::exponential_distribution<double>(rate)(generator); }
  std::mt19937_64 generator;
};

/// Runs @p action at the arrivals of a rate that may change over time, never waiting for an
/// earlier action to end.
class OpenLoop {
 public:
  /// @param rate arrivals a second at a time of the run, in seconds; 0 for a pause.
  OpenLoop(LoadTarget& target, std::uint64_t seed, std::function<double(double at_s)> rate,
           std::function<void(double due_s)> action);
  void start();
  void stop() { stopped_ = true; }

 private:
  void schedule();

  LoadTarget& target_;
  ArrivalClock clock_;
  std::function<double(double)> rate_;
  std::function<void(double)> action_;
  double due_s_ = 0;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Live calls.
struct LiveOptions {
  std::string template_name = "agent-reply";
  std::string rendered_system_prompt;  ///< As the template and the tenant make it, to check answers.
  std::uint32_t tokens = 24;
  unsigned prefix_groups = 40;  ///< Conversations that share a beginning.
  unsigned prefix_bytes = 600;
};
struct LiveCounts {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t wrong = 0;  ///< Whole by its own word but not the right answer.
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut_off = 0;  ///< Ended in the middle, or no answer at all.
};
class LiveLoad {
 public:
  LiveLoad(LoadTarget& target, LiveOptions options, std::uint64_t seed);
  /// Sends one call that was due at @p due_s.
  void send(double due_s);
  const LiveCounts& counts() const { return counts_; }
  const Samples& first_token_ms() const { return first_token_; }
  const Samples& per_token_ms() const { return per_token_; }
  /// @return when, in the run, calls ended without their answer.
  const std::vector<double>& failed_at_s() const { return failed_at_; }
  std::uint64_t open() const { return open_; }

 private:
  LoadTarget& target_;
  const LiveOptions options_;
  std::mt19937_64 generator_;
  LiveCounts counts_;
  Samples first_token_;
  Samples per_token_;
  std::vector<double> failed_at_;
  std::uint64_t open_ = 0;
  std::uint64_t number_ = 0;
};

/// One call that ends every engine which begins it, sent again and again, each time at the next gateway.
class FatalLoad {
 public:
  /// @param text as the engines are told (FleetPlan::engine_ends_on).
  FatalLoad(LoadTarget& target, std::string text) : target_(target), text_(std::move(text)) {}
  void send();
  std::uint64_t sent() const { return sent_; }
  /// @return calls that were refused as quarantined.
  std::uint64_t held_back() const { return held_back_; }

 private:
  LoadTarget& target_;
  const std::string text_;
  std::uint64_t sent_ = 0;
  std::uint64_t held_back_ = 0;
};

/// Calls that may not be repeated.
struct BookingOptions {
  std::string template_name = "book-slot";
  double resend_share = 0.2;  ///< Sent to two gateways at once under one key.
  double retry_share = 1.0;   ///< Callers that come back, under the same key, after "not run" or "unknown".
};
/// What callers were told about one key.
struct BookingRecord {
  bool answered = false;
  bool unknown = false;
  bool open = false;  ///< A call is still under way, or ended without any word.
  std::uint64_t sends = 0;
};
class BookingLoad {
 public:
  BookingLoad(LoadTarget& target, BookingOptions options, std::uint64_t seed);
  void send(double due_s);
  const std::map<std::string, BookingRecord>& records() const { return records_; }
  const Samples& latency_ms() const { return latency_; }
  const std::vector<double>& failed_at_s() const { return failed_at_; }
  std::uint64_t open() const { return open_; }

 private:
  void send_once(const std::string& key, double due_s, unsigned tries_left);

  LoadTarget& target_;
  const BookingOptions options_;
  std::mt19937_64 generator_;
  std::map<std::string, BookingRecord> records_;
  Samples latency_;
  std::vector<double> failed_at_;
  std::uint64_t open_ = 0;
  std::uint64_t number_ = 0;
};

/// Batch jobs.
struct BatchOptions {
  std::string template_name = "referral";
  std::string rendered_system_prompt;
  std::uint32_t items = 2000;
  std::uint32_t tokens = 16;
};
struct BatchJobState {
  std::string key;
  std::string id;  ///< Empty until accepted.
  std::uint64_t number = 0;
  std::uint32_t items = 0;
  std::uint32_t completed = 0;
  bool completed_all = false;
  bool cancelled = false;
};
/// What reading all results of a job showed.
struct ResultCheck {
  std::uint64_t results = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t missing = 0;
  std::uint64_t wrong = 0;
};
class BatchLoad {
 public:
  BatchLoad(LoadTarget& target, BatchOptions options, std::uint64_t seed);
  /// Submits one job, again and again under its key until it is accepted.
  void submit();
  /// Asks for the progress of every job that is not complete.
  void poll();
  /// Reads all results of @p job, waiting for them.
  ResultCheck check(const BatchJobState& job);
  std::vector<std::shared_ptr<BatchJobState>> jobs() const { return jobs_; }
  std::uint64_t accepted_items() const;
  std::uint64_t completed_items() const;
  bool all_complete() const;
  std::string gateway();

 private:
  std::string body_of(std::uint64_t job_number) const;
  std::string prompt_of(std::uint64_t job_number, std::uint32_t index) const;
  void submit_again(const std::shared_ptr<BatchJobState>& job, const std::shared_ptr<std::string>& body);

  LoadTarget& target_;
  const BatchOptions options_;
  std::mt19937_64 generator_;
  std::vector<std::shared_ptr<BatchJobState>> jobs_;
  const std::string run_name_;
};

}  // namespace madderdeck::bench
