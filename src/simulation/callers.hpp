#pragma once
/// @file Callers and operators of a simulated fleet. They tell the oracle what they were told.

#include <memory>
#include <string>
#include <vector>

#include "batch/submission.hpp"
#include "simulation/fleet.hpp"

namespace madderdeck::simulation {

/// Single threaded; everything happens in virtual time.
class Callers {
 public:
  Callers(World& world, SimFleet& fleet, Oracle& oracle, const Profile& profile)
      : world_(world), fleet_(fleet), oracle_(oracle), profile_(profile) {}

  /// Sends a live request with a prompt of its own to @p node.
  void send_live(unsigned node, std::uint32_t tokens);
  /// Sends the same generation each time, one that ends the engines that begin it.
  void send_fatal_live(unsigned node);

  /// Passes a stream on at @p node. @p body may be that of a fatal request.
  void send_forwarded(unsigned node, const std::string& body);
  /// Passes a request on at @p node whose answer may be broken off, and judges what comes.
  void send_answered(unsigned node, answered_kind kind);
  /// @return the body of an ordinary request, never used before.
  std::string new_body() { return "body " + std::to_string(++live_number_); }
  /// @return the body of one of a few ordinary requests that come again and again.
  static std::string recurring_body(std::uint32_t choice) { return "recurring " + std::to_string(choice % 6); }

  /// @return the number of a new booking, not sent yet.
  std::size_t new_booking();
  void send_booking(std::uint32_t choice, std::size_t index);
  void send_booking_at(unsigned node, std::size_t index);
  /// Sends one of the last bookings once more.
  void resend_booking(std::uint32_t choice);

  /// @return the number of a new job, not submitted yet.
  /// @param item_crashes engines that crash under one of its items.
  std::size_t new_job(std::uint32_t items, unsigned item_crashes = 0);
  /// @return how many jobs there are.
  std::size_t jobs() const { return jobs_.size(); }
  void submit(std::uint32_t choice, std::size_t index);
  /// Submits one of the last jobs once more, under its key.
  void resubmit(std::uint32_t choice);
  void cancel(std::uint32_t choice);
  void cancel_job_at(unsigned node, std::size_t index);
  void read_some_results(std::uint32_t choice);
  void read_all_results(unsigned node);
  /// @return the number of a new job of HTTP items, not submitted yet.
  std::size_t new_listed_job(std::uint32_t items);
  /// An item of a job and its number.
  using ItemKey = std::pair<std::size_t, std::uint32_t>;
  /// @return the items of the jobs submitted as @p first and later that no engine runs or holds.
  std::vector<ItemKey> items_outside_engines(std::size_t first) const;
  /// Judges such items: all of them have to be done.
  void judge_interrupted_items(const std::vector<ItemKey>& items);
  /// Reads one of the listed jobs from some position on.
  void read_positions(std::uint32_t choice);
  /// Reads every listed job that has to complete from its start at @p node, page by page until the end.
  void read_all_positions(unsigned node);
  /// @return how many times a listed job was read so to its end.
  std::uint64_t whole_readings() const { return whole_readings_; }
  /// @return accepted listed jobs that nobody has tried to cancel.
  std::uint64_t listed_jobs_to_complete() const;
  /// @return the accepted name of a job; empty before.
  const std::string& job_name(std::size_t index) const { return jobs_[index].id; }

  /// Declares a new value of one of a few objects.
  void declare(std::uint32_t choice, std::uint32_t object);

  /// Compares what callers were told with what ran.
  void check();

 private:
  struct Booking {
    std::string key;
    unsigned answered = 0;
    unsigned not_run = 0;
    unsigned unknown = 0;
    unsigned sent = 0;
  };
  struct JobPlan {
    std::uint64_t number = 0;
    std::string id;  ///< Empty until accepted.
    std::uint32_t items = 0;
    unsigned item_crashes = 0;
    bool listed = false;  ///< HTTP items; results have positions.
  };
  static constexpr std::uint32_t kUnluckyIndex = 3;  ///< Of the item under which engines crash.

  std::uint64_t open_request(unsigned node);
  void close_request(unsigned node, std::uint64_t request);
  static std::string item_prompt(const JobPlan& job, std::uint32_t index);
  void judge_answer(const forwarding::ForwardedRequest& request, const std::string& text, bool whole);
  void read_results(unsigned node, const JobPlan& job);
  bool has_to_complete(const JobPlan& job) const;
  void add_items(batch::Submission& submission, const JobPlan& job) const;
  std::string expected_text(const JobPlan& job, std::uint32_t index) const;
  void read_from(unsigned node, const JobPlan& job, std::uint32_t position, bool on);
  void take_page(const JobPlan& job, const batch::ResultPage& page);

  World& world_;
  SimFleet& fleet_;
  Oracle& oracle_;
  const Profile profile_;
  std::vector<Booking> bookings_;
  std::vector<JobPlan> jobs_;
  std::vector<std::shared_ptr<batch::Submission>> submissions_;
  std::vector<std::string> not_run_prompts_;
  std::uint64_t live_number_ = 0;
  std::uint64_t request_number_ = 0;
  std::uint64_t declaration_number_ = 0;
  std::uint64_t whole_readings_ = 0;
};

/// Host and path of the route of listed jobs.
inline constexpr char kListedHost[] = "jobs";
inline constexpr char kListedPath[] = "/jobs/";

}  // namespace madderdeck::simulation
