#include "simulation/driver.hpp"

#include <algorithm>
#include <array>

#include "batch/submission.hpp"

namespace madderdeck::simulation {
namespace {

constexpr Duration kFoundingTime = 6s;
constexpr Duration kSettleTime = 12s;
constexpr Duration kCompletionLimit = 150s;
constexpr Duration kDrainCheck = 50ms;
/// How long a live request may wait in an engine while batch holds a slot there.
constexpr Duration kBehindBatchLimit = 150ms;
constexpr unsigned kLedgerNodes = 3;
constexpr unsigned kObjectNames = 3;
constexpr std::uint32_t kLongStream = 120;  ///< Tokens.

/// How often each kind comes up, against the others.
constexpr std::array<unsigned, kActionKinds> kWeights = {14, 12, 10, 5, 4, 3, 5, 9, 5, 3, 4, 3, 4, 2, 3, 2, 4, 2,
                                                         2,  1,  1,  2, 2, 2, 1, 3, 3, 3, 2, 2, 2, 1, 1, 1, 6};

/// Calls on a fleet what the actions say, and tells the oracle what callers saw.
class Driver {
 public:
  Driver(std::uint64_t seed, const Profile& profile, const node::Guards& guards)
      : world_(seed), fleet_(world_, oracle_, profile, guards), profile_(profile) {}

  RunResult run(std::uint64_t seed, const std::vector<Action>& actions) {
    check_regularly();
    declare_basics();
    world_.run_for(kFoundingTime);
    for (const Action& action : actions) {
      world_.trace(action_name(action.kind));
      act(action);
      world_.run_for(std::chrono::milliseconds(action.pause_ms));
    }
    settle();
    burst();
    complete_jobs();
    check_callers();
    RunResult result;
    result.seed = seed;
    result.trace_hash = world_.trace_hash();
    result.violations = oracle_.violations();
    result.accepted_items = oracle_.accepted_items;
    result.completed_items = oracle_.completed_items;
    result.non_repeatable_sent = oracle_.non_repeatable_sent;
    result.cancelled_jobs = oracle_.cancelled_jobs;
    result.config_changes = oracle_.config_changes;
    result.live_answered = oracle_.live_answered;
    result.planned_stops = oracle_.planned_stops;
    result.steps = actions.size();
    result.faults = oracle_.faults;
    return result;
  }

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
  };

  // --- helpers ---
  std::optional<unsigned> pick_node(std::uint32_t choice) const {
    const auto running = fleet_.running_nodes();
    return running.empty() ? std::nullopt : std::optional(running[choice % running.size()]);
  }
  node::NodeCore& core(unsigned node) { return *fleet_.nodes[node]->life.core; }
  void fault(ActionKind kind) { ++oracle_.faults[action_name(kind)]; }

  void check_regularly() {
    world_.schedule(kDrainCheck, [this] {
      fleet_.check_drains();
      for (unsigned node = 0; node < kLedgerNodes; ++node) {
        fleet_.observe_disk(node);
      }
      fleet_.observe_configuration();
      check_regularly();
    });
  }

  void declare_basics() {
    const auto put = [this](const std::string& kind, const std::string& name, const std::string& body) {
      platform::PutRequest request;
      request.key = {kind, name};
      request.body = body;
      emulator::compare_and_set(*fleet_.objects, request);
    };
    put("template", "live", R"({"pool":"model","max_tokens":1000,"timeout_ms":20000})");
    put("template", "bulk", R"({"pool":"model","max_tokens":1000})");
    put("template", "book", R"({"target":"service","pool":"service","repeatable":false,"timeout_ms":1500})");
    put("tenant", "tenant", R"({"api_key":"key"})");
    put("fleet_policy", "default", R"({"batch_headroom_slots":1,"replace_ledger_node_after_s":3600})");
  }

  // --- actions ---
  void act(const Action& action) {
    switch (action.kind) {
      case ActionKind::live_request:
        if (const auto node = pick_node(action.choice)) {
          send_live(*node, action.choice % 5 == 0 ? kLongStream : profile_.live_tokens);
        }
        break;
      case ActionKind::booking:
        bookings_.push_back({"key-" + std::to_string(bookings_.size())});
        send_booking(action.choice, bookings_.size() - 1);
        break;
      case ActionKind::resend_booking:
        if (!bookings_.empty()) {
          send_booking(action.choice,
                       bookings_.size() - 1 - action.choice / 8 % std::min<std::size_t>(bookings_.size(), 4));
        }
        break;
      case ActionKind::submit_job:
        jobs_.push_back({jobs_.size(), "", profile_.job_items});
        submit(action.choice, jobs_.size() - 1);
        break;
      case ActionKind::resend_job:
        if (!jobs_.empty()) {
          submit(action.choice, jobs_.size() - 1 - action.choice / 8 % std::min<std::size_t>(jobs_.size(), 2));
        }
        break;
      case ActionKind::cancel_job:
        cancel(action.choice);
        break;
      case ActionKind::read_results:
        read_some_results(action.choice);
        break;
      case ActionKind::declare:
        declare(action.choice, action.choice / 16);
        break;
      case ActionKind::race_declarations:
        declare(action.choice, action.choice / 16);
        declare(action.choice + 1, action.choice / 16);
        break;
      default:
        act_of_fate(action);
        break;
    }
  }

  void act_of_fate(const Action& action) {
    const auto node = pick_node(action.choice);
    fault(action.kind);
    switch (action.kind) {
      case ActionKind::crash_node:
        if (node) {
          fleet_.crash_node(*node);
        }
        break;
      case ActionKind::restart_nodes:
        for (unsigned number = 0; number < fleet_.nodes.size(); ++number) {
          fleet_.start_node(number);
        }
        break;
      case ActionKind::freeze_node:
        if (node) {
          fleet_.nodes[*node]->process.freeze();
        }
        break;
      case ActionKind::thaw_nodes:
        for (const auto& one : fleet_.nodes) {
          if (one->process.frozen()) {
            one->process.thaw();
          }
        }
        break;
      case ActionKind::lose_disk:
        lose_disk(action.choice % kLedgerNodes);
        if (action.choice / 8 % 3 == 0) {
          lose_second_disk((action.choice + 1) % kLedgerNodes);
        }
        break;
      case ActionKind::cut_link:
        cut(action.choice % profile_.nodes, action.choice / 16 % profile_.nodes);
        break;
      case ActionKind::isolate_node:
        for (unsigned other = 0; other < profile_.nodes; ++other) {
          cut(action.choice % profile_.nodes, other);
        }
        break;
      case ActionKind::mend_links:
        fleet_.conditions.cuts.clear();
        break;
      case ActionKind::drain_node:
        if (node && !fleet_.nodes[*node]->draining) {
          fleet_.drain_node(*node);
        }
        break;
      case ActionKind::drain_busy_node:
        if (node && !fleet_.nodes[*node]->draining) {
          send_live(*node, kLongStream);
          bookings_.push_back({"key-" + std::to_string(bookings_.size())});
          send_booking_at(*node, bookings_.size() - 1);
          fleet_.drain_node(*node);
        }
        break;
      case ActionKind::cancel_during_freeze:
        cancel_during_freeze(action.choice);
        break;
      case ActionKind::leave_during_freeze:
        leave_during_freeze(action.choice);
        break;
      case ActionKind::lose_disk_beside_stale_replica:
        lose_disk_beside_stale_replica(action.choice);
        break;
      default:
        act_on_outside(action);
        break;
    }
  }

  /// Records are acknowledged by two replicas while the third is down; one of the two loses
  /// its disk, and then only the stale one and the new one are up.
  void lose_disk_beside_stale_replica(std::uint32_t choice) {
    const unsigned stale = choice % kLedgerNodes;
    const unsigned lost = (choice + 1) % kLedgerNodes;
    const unsigned holder = (choice + 2) % kLedgerNodes;
    for (unsigned node = 0; node < kLedgerNodes; ++node) {
      fleet_.observe_disk(node);
      const bool well = fleet_.usable(node) && !fleet_.nodes[node]->process.frozen() && fleet_.nodes[node]->disk_whole;
      if (!well) {
        return;
      }
    }
    fleet_.conditions = Conditions();
    fleet_.crash_node(stale);
    world_.run_for(100ms);
    bookings_.push_back({"key-" + std::to_string(bookings_.size())});
    const std::size_t booking = bookings_.size() - 1;
    send_booking_at(holder, booking);
    jobs_.push_back({jobs_.size(), "", profile_.job_items});
    submit(holder, jobs_.size() - 1);
    world_.run_for(1s);
    ++oracle_.faults["disk_lost"];
    fleet_.lose_disk(lost);
    world_.run_for(9s);
    fleet_.crash_node(holder);
    fleet_.start_node(stale);
    world_.run_for(3s);
    send_booking_at(stale, booking);
    world_.run_for(2s);
    fleet_.start_node(holder);
    world_.run_for(5s);
  }

  std::optional<unsigned> manager_of(const std::string& job) const {
    for (const unsigned node : fleet_.running_nodes()) {
      for (const batch::JobProgress& progress : fleet_.nodes[node]->life.core->jobs->progress()) {
        if (progress.job.str() == job) {
          return node;
        }
      }
    }
    return std::nullopt;
  }

  void cancel_during_freeze(std::uint32_t choice) {
    const auto running = fleet_.running_nodes();
    if (running.size() < 2) {
      return;
    }
    jobs_.push_back({jobs_.size(), "", profile_.job_items * 3});
    submit(choice, jobs_.size() - 1);
    world_.run_for(std::chrono::milliseconds(200 + choice % 400));
    // Mostly the job's own manager, which does not hear of the cancel.
    const unsigned manager = manager_of(jobs_.back().id).value_or(running[choice % running.size()]);
    const unsigned victim = choice / 8 % 4 == 0 ? running[choice % running.size()] : manager;
    const unsigned canceller = running[0] == victim ? running[1] : running[0];
    // Live requests make batch yield, so that the victim holds queued items.
    for (unsigned request = 0; request < profile_.engines * profile_.engine_slots; ++request) {
      send_live(running[(choice + request) % running.size()], profile_.live_tokens);
    }
    world_.run_for(15ms);
    fleet_.nodes[victim]->process.freeze();
    cut(victim, canceller);
    cancel_job_at(canceller, jobs_.size() - 1);
    world_.run_for(5s);
    fleet_.nodes[victim]->process.thaw();
    world_.run_for(200ms);
    fleet_.conditions.cuts.erase({std::min(victim, canceller), std::max(victim, canceller)});
  }

  void leave_during_freeze(std::uint32_t choice) {
    const auto node = pick_node(choice);
    if (!node) {
      return;
    }
    SimProcess& process = fleet_.nodes[*node]->process;
    const std::uint64_t life = process.life();
    process.freeze();
    fleet_.set_engine_leaving(choice / 8 % profile_.engines, true);
    world_.run_for(7s);
    constexpr unsigned kRequests = 6;
    for (unsigned request = 0; request < kRequests; ++request) {
      process.deliver(life, [this, node = *node] { send_live(node, profile_.live_tokens); });
    }
    process.thaw();
    world_.run_for(100ms);
  }

  void act_on_outside(const Action& action) {
    Conditions& conditions = fleet_.conditions;
    switch (action.kind) {
      case ActionKind::crash_engine:
        fleet_.crash_engine(action.choice % profile_.engines);
        break;
      case ActionKind::restart_engines:
        for (const auto& engine : fleet_.engines) {
          engine->process.start();
        }
        break;
      case ActionKind::engine_leaves:
        fleet_.set_engine_leaving(action.choice % profile_.engines, true);
        break;
      case ActionKind::service_leaves:
        fleet_.set_service_leaving(action.choice % profile_.services, true);
        break;
      case ActionKind::back_ends_return:
        for (unsigned number = 0; number < profile_.engines; ++number) {
          if (fleet_.engines[number]->model.leaving()) {
            fleet_.set_engine_leaving(number, false);
          }
        }
        for (unsigned number = 0; number < profile_.services; ++number) {
          if (fleet_.services[number]->leaving) {
            fleet_.set_service_leaving(number, false);
          }
        }
        break;
      case ActionKind::platform_down:
        conditions.platform_down = true;
        break;
      case ActionKind::platform_loses_answers:
        conditions.platform_lost_answers = 50;
        break;
      case ActionKind::platform_slow:
        conditions.platform_delay = 700ms;
        break;
      case ActionKind::platform_well:
        conditions.platform_down = false;
        conditions.platform_lost_answers = 0;
        conditions.platform_delay = 1ms;
        break;
      case ActionKind::connections_break:
        conditions.break_percent = 30;
        conditions.late_answer_percent = 60;
        conditions.loss_percent = 5;
        break;
      case ActionKind::connections_well:
        conditions.break_percent = 0;
        conditions.late_answer_percent = 0;
        conditions.loss_percent = 1;
        conditions.services_slow = false;
        break;
      case ActionKind::services_slow:
        conditions.services_slow = true;
        break;
      default:
        break;
    }
  }

  void cut(unsigned one, unsigned other) {
    if (one != other) {
      fleet_.conditions.cuts.insert({std::min(one, other), std::max(one, other)});
    }
  }

  /// A disk may go when the loss before it has been repaired; see docs/design/ledger.md.
  bool lose_disk(unsigned number) {
    for (unsigned node = 0; node < kLedgerNodes; ++node) {
      fleet_.observe_disk(node);
      if (!fleet_.nodes[node]->disk_whole) {
        return false;
      }
    }
    ++oracle_.faults["disk_lost"];
    fleet_.lose_disk(number);
    return true;
  }

  /// The next disk goes as soon as the fleet says that the loss before it is repaired.
  void lose_second_disk(unsigned number) {
    constexpr unsigned kLooks = 8000;
    for (unsigned look = 0; look < kLooks; ++look) {
      if (lose_disk(number)) {
        return;
      }
      world_.run_for(1ms);
    }
  }

  // --- callers ---
  std::uint64_t open_request(unsigned node) {
    fleet_.nodes[node]->open_requests.insert(++request_number_);
    return request_number_;
  }
  void close_request(unsigned node, std::uint64_t request) { fleet_.nodes[node]->open_requests.erase(request); }

  void send_live(unsigned node, std::uint32_t tokens) {
    const std::string prompt = "live prompt " + std::to_string(++live_number_);
    const std::uint64_t request = open_request(node);
    routing::LiveRequest live{"model", prompt, tokens, 20s};
    auto text = std::make_shared<std::string>();
    routing::LiveEvents events;
    events.token = [text](std::string_view piece) { text->append(piece); };
    events.finished = [this, node, request, prompt, text, tokens](std::uint32_t) {
      close_request(node, request);
      ++oracle_.live_answered;
      world_.trace(*text);
      if (*text != emulator::full_answer(prompt, tokens)) {
        oracle_.violated(Promise::whole_own_answer, "answer to " + prompt + " was " + *text, world_.now());
      }
    };
    events.refused = [this, node, request, prompt](const routing::Refusal& refusal) {
      close_request(node, request);
      if (refusal.ran == routing::Ran::no) {
        not_run_prompts_.push_back(prompt);
      }
    };
    core(node).live.start(std::move(live), std::move(events));
  }

  void send_booking(std::uint32_t choice, std::size_t index) {
    if (const auto node = pick_node(choice)) {
      send_booking_at(*node, index);
    }
  }

  void send_booking_at(unsigned node, std::size_t index) {
    ++oracle_.non_repeatable_sent;
    ++bookings_[index].sent;
    const std::uint64_t request = open_request(node);
    routing::ServiceRequest call;
    call.service = "service";
    call.key = {"tenant", bookings_[index].key};
    call.repeatable = false;
    call.body = "body of " + bookings_[index].key;
    call.timeout = 1500ms;
    core(node).services.call(std::move(call), [this, node, request, index](const routing::ServiceOutcome& outcome) {
      close_request(node, request);
      Booking& booking = bookings_[index];
      if (const auto* answer = std::get_if<routing::ServiceAnswer>(&outcome)) {
        ++booking.answered;
        if (answer->body != "answer to " + booking.key) {
          oracle_.violated(Promise::whole_own_answer, booking.key + " got: " + answer->body, world_.now());
        }
        if (oracle_.runs_of(booking.key) == 0) {
          oracle_.violated(Promise::whole_own_answer, booking.key + " was answered and never ran", world_.now());
        }
      } else if (std::get<routing::Refusal>(outcome).ran == routing::Ran::no) {
        ++booking.not_run;
      } else {
        ++booking.unknown;
      }
    });
  }

  std::string item_prompt(std::uint64_t job, std::uint32_t index) const {
    return "job " + std::to_string(job) + " item " + std::to_string(index);
  }

  void submit(std::uint32_t choice, std::size_t index) {
    const auto node = pick_node(choice);
    if (!node) {
      return;
    }
    node::NodeCore& at = core(*node);
    batch::JobRequest request;
    request.tenant = "tenant";
    request.idempotency_key = "job-key-" + std::to_string(index);
    request.template_name = "bulk";
    auto submission = std::make_shared<batch::Submission>(at.environment, at.counters, at.ledger, std::move(request));
    for (std::uint32_t item = 0; item < jobs_[index].items; ++item) {
      submission->add("{\"prompt\":\"" + item_prompt(index, item) +
                      "\",\"max_tokens\":" + std::to_string(profile_.batch_tokens) + "}");
    }
    submissions_.push_back(submission);
    submission->finish([this, index, &at](const Result<batch::SubmittedJob>& result) {
      if (succeeded(result)) {
        const wire::JobRecordT& record = value_of(result).record;
        jobs_[index].id = record.id;
        oracle_.job_accepted(record.id, record.items, index);
        at.announce_job(JobId(record.id), false);
      }
    });
  }

  void cancel(std::uint32_t choice) {
    if (!jobs_.empty()) {
      cancel_job(choice, choice / 8 % jobs_.size());
    }
  }

  void cancel_job(std::uint32_t choice, std::size_t index) {
    if (const auto node = pick_node(choice)) {
      cancel_job_at(*node, index);
    }
  }

  void cancel_job_at(unsigned node, std::size_t index) {
    const std::string id = jobs_[index].id;
    if (id.empty()) {
      return;
    }
    oracle_.job_cancel_sent(id);
    core(node).cancel_job(JobId(id), [this, id](const Result<wire::JobRecordT>& result) {
      if (succeeded(result) && value_of(result).state == wire::JobState::Cancelled) {
        oracle_.job_cancelled(id, world_.now());
      }
    });
  }

  void read_some_results(std::uint32_t choice) {
    const auto node = pick_node(choice);
    if (node && !jobs_.empty()) {
      read_results(*node, jobs_[choice / 8 % jobs_.size()]);
    }
  }

  void read_results(unsigned node, const JobPlan& job) {
    if (job.id.empty()) {
      return;
    }
    constexpr std::uint32_t kAll = 10'000;
    core(node).ledger.scan(
        batch::result_prefix(JobId(job.id)), "", kAll, [this, job](const Result<ledger::ScanPage>& result) {
          if (!succeeded(result)) {
            return;
          }
          for (const ledger::ScanRecord& record : value_of(result).records) {
            const auto item = wire::decode_record<wire::ResultRecordT>(record.value);
            if (!item || item->failed ||
                item->body != emulator::full_answer(item_prompt(job.number, item->index), profile_.batch_tokens)) {
              oracle_.violated(Promise::item_exactly_once, record.key + " has a wrong result", world_.now());
              continue;
            }
            oracle_.result_read(job.id, item->index, std::to_string(item->attempt) + item->body, world_.now());
          }
        });
  }

  void declare(std::uint32_t choice, std::uint32_t object) {
    const auto node = pick_node(choice);
    if (!node) {
      return;
    }
    const std::string name = "object-" + std::to_string(object % kObjectNames);
    platform::PutRequest request;
    request.key = {config::kTemplateKind, name};
    request.body = "{\"pool\":\"model\",\"max_tokens\":" + std::to_string(1 + ++declaration_number_) + "}";
    const config::Entry* present = core(*node).objects.table().find(request.key);
    request.expected_revision = present == nullptr ? 0 : present->revision;
    const std::string body = request.body;
    core(*node).declarations.declare(std::move(request), [this, name, body](const Result<std::uint64_t>& result) {
      if (succeeded(result)) {
        oracle_.declaration_accepted(name, value_of(result), body);
      }
    });
  }

  // --- the end ---
  void settle() {
    fleet_.heal();
    world_.run_for(kSettleTime);
    const std::uint64_t settled_revision = fleet_.objects->revision();
    for (unsigned number = 0; number < fleet_.nodes.size(); ++number) {
      fleet_.start_node(number);  // those that had been leaving
    }
    world_.run_for(kSettleTime);
    check_configuration(settled_revision);
  }

  /// @param due_revision of the store, reached long enough ago to be in force everywhere.
  void check_configuration(std::uint64_t due_revision) {
    for (const auto& [name, declaration] : oracle_.declarations()) {
      const platform::StoredObject* stored = fleet_.objects->find({config::kTemplateKind, name});
      const bool lost = stored == nullptr || stored->entry.revision < declaration.revision ||
                        (stored->entry.revision == declaration.revision && stored->entry.body != declaration.body);
      if (lost) {
        oracle_.violated(Promise::configuration_never_reverts, "accepted change of " + name + " is not in the store",
                         world_.now());
      }
    }
    for (const unsigned node : fleet_.running_nodes()) {
      const std::uint64_t held = core(node).objects.table().revision();
      if (held < due_revision) {
        oracle_.violated(Promise::configuration_never_reverts,
                         "node-" + std::to_string(node) + " is at revision " + std::to_string(held) + " of " +
                             std::to_string(due_revision),
                         world_.now());
      }
    }
  }

  /// A heap of batch work, then a burst of live requests, in a healthy fleet.
  void burst() {
    constexpr unsigned kHeap = 4;
    for (unsigned job = 0; job < kHeap; ++job) {
      jobs_.push_back({jobs_.size(), "", profile_.job_items * 2});
      submit(job, jobs_.size() - 1);
    }
    world_.run_for(1500ms);
    for (const auto& engine : fleet_.engines) {
      engine->model.reset_longest_wait();
    }
    for (unsigned request = 0; request < profile_.engines * profile_.engine_slots; ++request) {
      if (const auto node = pick_node(request)) {
        send_live(*node, profile_.live_tokens);
      }
      world_.run_for(2ms);
    }
    world_.run_for(3s);
    for (unsigned number = 0; number < fleet_.engines.size(); ++number) {
      const Duration wait = fleet_.engines[number]->model.totals().longest_wait_behind_batch;
      if (wait > kBehindBatchLimit) {
        oracle_.violated(Promise::live_never_behind_batch,
                         "a live request waited " + std::to_string(wait / 1ms) + " ms behind batch in engine " +
                             std::to_string(number),
                         world_.now());
      }
    }
  }

  bool jobs_complete() const {
    for (const auto& [id, job] : oracle_.jobs()) {
      if (!job.cancel_sent && job.results.size() < job.items) {
        return false;
      }
    }
    return true;
  }

  void complete_jobs() {
    const Timestamp limit = world_.now() + kCompletionLimit;
    do {
      world_.run_for(2s);
      for (const JobPlan& job : jobs_) {
        read_results(0, job);
      }
      world_.run_for(200ms);
    } while (!jobs_complete() && world_.now() < limit);
    for (const auto& [id, job] : oracle_.jobs()) {
      if (!job.cancel_sent && job.results.size() < job.items) {
        oracle_.violated(
            Promise::item_exactly_once,
            id + " has " + std::to_string(job.results.size()) + " of " + std::to_string(job.items) + " results",
            world_.now());
      }
    }
  }

  void check_callers() {
    for (const std::string& prompt : not_run_prompts_) {
      if (oracle_.engine_has_taken(prompt)) {
        oracle_.violated(Promise::not_run_is_true, prompt + " was called not run", world_.now());
      }
    }
    for (const Booking& booking : bookings_) {
      const bool only_not_run = booking.sent > 0 && booking.not_run == booking.sent;
      if (only_not_run && oracle_.runs_of(booking.key) > 0) {
        oracle_.violated(Promise::not_run_is_true, booking.key + " was called not run", world_.now());
      }
    }
  }

  Oracle oracle_;
  World world_;
  SimFleet fleet_;
  const Profile profile_;
  std::vector<Booking> bookings_;
  std::vector<JobPlan> jobs_;
  std::vector<std::shared_ptr<batch::Submission>> submissions_;
  std::vector<std::string> not_run_prompts_;
  std::uint64_t live_number_ = 0;
  std::uint64_t request_number_ = 0;
  std::uint64_t declaration_number_ = 0;
};

}  // namespace

const char* action_name(ActionKind kind) {
  static constexpr std::array<const char*, kActionKinds> kNames = {"live_request",
                                                                   "booking",
                                                                   "resend_booking",
                                                                   "submit_job",
                                                                   "resend_job",
                                                                   "cancel_job",
                                                                   "read_results",
                                                                   "declare",
                                                                   "race_declarations",
                                                                   "crash_node",
                                                                   "restart_nodes",
                                                                   "freeze_node",
                                                                   "thaw_nodes",
                                                                   "lose_disk",
                                                                   "cut_link",
                                                                   "isolate_node",
                                                                   "mend_links",
                                                                   "crash_engine",
                                                                   "restart_engines",
                                                                   "engine_leaves",
                                                                   "service_leaves",
                                                                   "back_ends_return",
                                                                   "platform_down",
                                                                   "platform_loses_answers",
                                                                   "platform_slow",
                                                                   "platform_well",
                                                                   "connections_break",
                                                                   "connections_well",
                                                                   "services_slow",
                                                                   "drain_node",
                                                                   "drain_busy_node",
                                                                   "cancel_during_freeze",
                                                                   "leave_during_freeze",
                                                                   "lose_disk_beside_stale_replica",
                                                                   "wait"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::vector<Action> make_schedule(std::uint64_t seed, std::size_t steps) {
  Random random(seed ^ 0x5CEDULL);
  unsigned total = 0;
  for (const unsigned weight : kWeights) {
    total += weight;
  }
  std::vector<Action> actions;
  while (actions.size() < steps) {
    std::uint64_t draw = random.below(total);
    unsigned kind = 0;
    while (draw >= kWeights[kind]) {
      draw -= kWeights[kind++];
    }
    Action action{static_cast<ActionKind>(kind), static_cast<std::uint32_t>(random.below(1 << 16)), 0};
    // Mostly quick, now and then long enough for suspicion, leases and time-outs to run out.
    action.pause_ms = static_cast<std::uint32_t>(random.chance(8) ? random.below(6000) : random.below(120));
    actions.push_back(action);
  }
  return actions;
}

RunResult run_schedule(std::uint64_t seed, const std::vector<Action>& actions, const Profile& profile,
                       const node::Guards& guards) {
  return Driver(seed, profile, guards).run(seed, actions);
}

std::vector<Action> shorten(std::uint64_t seed, std::vector<Action> actions, const Profile& profile,
                            const node::Guards& guards) {
  const RunResult first = run_schedule(seed, actions, profile, guards);
  if (first.violations.empty()) {
    return actions;
  }
  const Promise promise = first.violations.front().promise;
  const auto still_fails = [&](const std::vector<Action>& fewer) {
    const RunResult result = run_schedule(seed, fewer, profile, guards);
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [&](const Violation& one) { return one.promise == promise; });
  };
  unsigned tries_left = 60;
  for (std::size_t chunk = std::max<std::size_t>(1, actions.size() / 2); chunk > 0 && tries_left > 0; chunk /= 2) {
    for (std::size_t start = 0; start < actions.size() && tries_left > 0;) {
      std::vector<Action> fewer = actions;
      const auto from = fewer.begin() + static_cast<std::ptrdiff_t>(start);
      const auto to = fewer.begin() + static_cast<std::ptrdiff_t>(std::min(start + chunk, fewer.size()));
      fewer.erase(from, to);
      --tries_left;
      if (still_fails(fewer)) {
        actions = std::move(fewer);
      } else {
        start += chunk;
      }
    }
  }
  return actions;
}

}  // namespace madderdeck::simulation
