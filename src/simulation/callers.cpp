#include "simulation/callers.hpp"

#include <algorithm>

namespace madderdeck::simulation {
namespace {
constexpr unsigned kObjectNames = 3;
constexpr std::uint32_t kFatalTokens = 120;  ///< An engine ends before it has made them.
}  // namespace

std::size_t Callers::new_booking() {
  bookings_.push_back({"key-" + std::to_string(bookings_.size())});
  return bookings_.size() - 1;
}

void Callers::resend_booking(std::uint32_t choice) {
  constexpr std::size_t kRecent = 4;
  if (!bookings_.empty()) {
    send_booking(choice, bookings_.size() - 1 - choice / 8 % std::min(bookings_.size(), kRecent));
  }
}

std::size_t Callers::new_job(std::uint32_t items, unsigned item_crashes) {
  jobs_.push_back({jobs_.size(), "", items, item_crashes});
  if (item_crashes > 0) {
    fleet_.item_crashes_left[item_prompt(jobs_.back(), kUnluckyIndex)] = item_crashes;
  }
  return jobs_.size() - 1;
}

std::vector<Callers::ItemKey> Callers::items_outside_engines(std::size_t first) const {
  std::vector<ItemKey> found;
  for (std::size_t number = first; number < jobs_.size(); ++number) {
    for (std::uint32_t index = 0; !jobs_[number].id.empty() && index < jobs_[number].items; ++index) {
      if (!fleet_.in_some_engine(item_prompt(jobs_[number], index))) {
        found.emplace_back(number, index);
      }
    }
  }
  return found;
}

void Callers::judge_interrupted_items(const std::vector<ItemKey>& items) {
  for (const auto& [number, index] : items) {
    const Oracle::Job& seen = oracle_.jobs().at(jobs_[number].id);
    if (!seen.cancel_sent && !seen.results.contains(index)) {
      oracle_.violated(Promise::interrupted_item_runs_again,
                       item_prompt(jobs_[number], index) + " is neither done nor in an engine", world_.now());
    }
  }
}

void Callers::resubmit(std::uint32_t choice) {
  constexpr std::size_t kRecent = 2;
  if (!jobs_.empty()) {
    submit(choice, jobs_.size() - 1 - choice / 8 % std::min(jobs_.size(), kRecent));
  }
}

void Callers::read_all_results(unsigned node) {
  for (const JobPlan& job : jobs_) {
    read_results(node, job);
  }
}

std::uint64_t Callers::open_request(unsigned node) {
  fleet_.nodes[node]->open_requests.insert(++request_number_);
  return request_number_;
}
void Callers::close_request(unsigned node, std::uint64_t request) { fleet_.nodes[node]->open_requests.erase(request); }

void Callers::send_live(unsigned node, std::uint32_t tokens) {
  const std::string prompt = "live prompt " + std::to_string(++live_number_);
  const std::uint64_t request = open_request(node);
  routing::LiveRequest live{"model", prompt, tokens, 20s};
  auto text = std::make_shared<std::string>();
  routing::LiveEvents events;
  events.token = [text](std::string_view piece) { text->append(piece); };
  events.finished = [this, node, request, prompt, text, tokens](std::uint32_t) {
    close_request(node, request);
    ++oracle_.counts.live_answered;
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
  fleet_.core(node).live.start(std::move(live), std::move(events));
}

void Callers::send_fatal_live(unsigned node) {
  const std::uint64_t request = open_request(node);
  routing::LiveRequest live{"model", std::string(kFatalRequest) + " live", kFatalTokens, 20s};
  routing::LiveEvents events;
  events.token = [](std::string_view) {};
  events.finished = [this, node, request](std::uint32_t) { close_request(node, request); };
  events.refused = [this, node, request](const routing::Refusal&) { close_request(node, request); };
  fleet_.core(node).live.start(std::move(live), std::move(events));
}

void Callers::send_forwarded(unsigned node, const std::string& body) {
  auto request = std::make_shared<forwarding::ForwardedRequest>();
  request->id = "request " + std::to_string(++request_number_);
  request->method = "POST";
  request->target = "/path";
  request->body = body;
  auto route = std::make_shared<forwarding::Route>();
  route->name = "route";
  route->kind = forwarding::RouteKind::stream;
  route->pools = {{"model", 1}};
  route->timeout_ms = 5'000;
  route->max_attempts = 2;
  route->resumable = true;
  const std::uint64_t open = open_request(node);
  auto text = std::make_shared<std::string>();
  forwarding::ForwardEvents events;
  events.head = [](const forwarding::AnswerHead&, const std::optional<std::string>&) {};
  events.piece = [text](std::string_view piece) { text->append(piece); };
  events.finished = [this, node, open, text, body] {
    close_request(node, open);
    ++oracle_.counts.live_answered;
    if (*text != SimUpstream::whole_stream()) {
      oracle_.violated(Promise::whole_own_answer, "answer to " + body + " was " + *text, world_.now());
    }
  };
  events.broken = [this, node, open] { close_request(node, open); };
  events.refused = [this, node, open, body](const routing::Refusal& refusal) {
    close_request(node, open);
    if (refusal.error.kind == ErrorKind::quarantined && !body.starts_with(kFatalRequest)) {
      oracle_.violated(Promise::fatal_request_contained, body + " was held back, though it ends no engine",
                       world_.now());
    }
  };
  fleet_.core(node).forwarder->start(std::move(request), std::move(route), std::move(events));
}

void Callers::send_answered(unsigned node, answered_kind kind) {
  const bool stream = kind == answered_kind::stream || kind == answered_kind::resumable_stream;
  auto request = std::make_shared<forwarding::ForwardedRequest>();
  request->id = "request " + std::to_string(++request_number_);
  request->method = "POST";
  request->target = stream ? kStreamPath : kPlainPath;
  request->body = new_body();
  auto route = std::make_shared<forwarding::Route>();
  route->name = request->target;
  route->kind = stream ? forwarding::RouteKind::stream
                       : (kind == answered_kind::repeatable ? forwarding::RouteKind::repeatable
                                                            : forwarding::RouteKind::unrepeatable);
  route->pools = {{"model", 1}};
  route->timeout_ms = 5'000;
  route->target_ms = 300;
  route->max_attempts = 3;
  route->resumable = kind == answered_kind::resumable_stream;
  const std::uint64_t open = open_request(node);
  auto text = std::make_shared<std::string>();
  forwarding::ForwardEvents events;
  events.head = [this, node, open, text, request](const forwarding::AnswerHead&,
                                                  const std::optional<std::string>& whole) {
    if (whole) {
      close_request(node, open);
      judge_answer(*request, *whole, true);
    }
  };
  events.piece = [text](std::string_view piece) { text->append(piece); };
  events.finished = [this, node, open, text, request] {
    close_request(node, open);
    judge_answer(*request, *text, true);
  };
  events.broken = [this, node, open, text, request] {
    close_request(node, open);
    judge_answer(*request, *text, false);
  };
  events.refused = [this, node, open](const routing::Refusal&) { close_request(node, open); };
  fleet_.core(node).forwarder->start(std::move(request), std::move(route), std::move(events));
}

void Callers::judge_answer(const forwarding::ForwardedRequest& request, const std::string& text, bool whole) {
  const std::string all = joined(whole_answer(request.target));
  const bool begins = all.starts_with(text);
  const bool stream = request.target == kStreamPath;
  const bool whole_pieces = !stream || is_whole_pieces(request.target, text);
  oracle_.counts.live_answered += whole ? 1 : 0;
  if (whole && text != all && !(begins && whole_pieces && fleet_.answers_that_look_whole.contains(request.id))) {
    oracle_.violated(Promise::broken_off_never_whole, "answer to " + request.id + " looks whole: " + text,
                     world_.now());
  }
  if (!whole && !(begins && whole_pieces)) {
    oracle_.violated(Promise::broken_off_never_whole, "answer to " + request.id + " was broken off as " + text,
                     world_.now());
  }
}

void Callers::send_booking(std::uint32_t choice, std::size_t index) {
  if (const auto node = fleet_.pick_running(choice)) {
    send_booking_at(*node, index);
  }
}

void Callers::send_booking_at(unsigned node, std::size_t index) {
  ++oracle_.counts.non_repeatable_sent;
  ++bookings_[index].sent;
  const std::uint64_t request = open_request(node);
  routing::ServiceRequest call;
  call.service = "service";
  call.key = {"tenant", bookings_[index].key};
  call.repeatable = false;
  call.body = "body of " + bookings_[index].key;
  call.timeout = 1500ms;
  fleet_.core(node).services.call(
      std::move(call), [this, node, request, index](const routing::ServiceOutcome& outcome) {
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

std::string Callers::item_prompt(const JobPlan& job, std::uint32_t index) {
  const std::string name = "job " + std::to_string(job.number) + " item " + std::to_string(index);
  return job.item_crashes > 0 && index == kUnluckyIndex ? std::string(kUnluckyItem) + " " + name : name;
}

void Callers::add_items(batch::Submission& submission, const JobPlan& job) const {
  for (std::uint32_t index = 0; index < job.items; ++index) {
    const std::string prompt = item_prompt(job, index);
    if (!job.listed) {
      submission.add("{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + std::to_string(profile_.batch_tokens) + "}");
      continue;
    }
    wire::HttpItemT item;
    item.id = prompt;
    item.method = "POST";
    item.target = kListedPath + std::to_string(index);
    item.body.assign(prompt.begin(), prompt.end());
    const wire::Bytes encoded = wire::encode_record(item);
    submission.add(std::string(encoded.begin(), encoded.end()), profile_.batch_tokens);
  }
}

std::size_t Callers::new_listed_job(std::uint32_t items) {
  const std::size_t number = new_job(items);
  jobs_[number].listed = true;
  return number;
}

bool Callers::has_to_complete(const JobPlan& job) const {
  return job.listed && !job.id.empty() && !oracle_.jobs().at(job.id).cancel_sent;
}

std::uint64_t Callers::listed_jobs_to_complete() const {
  return static_cast<std::uint64_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [this](const JobPlan& job) { return has_to_complete(job); }));
}

/// Each token is an event; a result holds their data with line feeds between.
std::string Callers::expected_text(const JobPlan& job, std::uint32_t index) const {
  std::string text;
  for (std::uint32_t offset = 0; offset < profile_.batch_tokens; ++offset) {
    text += (offset > 0 ? "\n" : "") + emulator::token_text(item_prompt(job, index), offset);
  }
  return text;
}

void Callers::read_positions(std::uint32_t choice) {
  const auto node = fleet_.pick_running(choice);
  std::vector<const JobPlan*> listed;
  for (const JobPlan& job : jobs_) {
    if (job.listed && !job.id.empty()) {
      listed.push_back(&job);
    }
  }
  if (node && !listed.empty()) {
    const JobPlan& job = *listed[choice / 8 % listed.size()];
    read_from(*node, job, choice / 64 % job.items, false);
  }
}

void Callers::read_all_positions(unsigned node) {
  for (const JobPlan& job : jobs_) {
    if (has_to_complete(job)) {
      read_from(node, job, 0, true);
    }
  }
}

void Callers::read_from(unsigned node, const JobPlan& job, std::uint32_t position, bool on) {
  constexpr std::size_t kPageBytes = 4'000;
  constexpr Duration kWait = 1s;
  static constexpr Duration kPause = 300ms;
  const auto take = [this, node, job, position, on](const Result<batch::ResultPage>& result) {
    if (!succeeded(result) && error_of(result).kind == ErrorKind::not_found) {
      oracle_.violated(Promise::item_exactly_once, job.id + " was accepted and is not known", world_.now());
      return;
    }
    if (succeeded(result)) {
      take_page(job, value_of(result));
    }
    const std::uint32_t reached =
        succeeded(result) ? position + static_cast<std::uint32_t>(value_of(result).results.size()) : position;
    if (reached == job.items) {
      whole_readings_ += on ? 1 : 0;
    } else if (on) {
      const std::uint64_t life = fleet_.nodes[node]->process.life();
      world_.schedule(reached > position ? Duration(1ms) : kPause, [this, node, job, reached, life] {
        if (fleet_.usable(node) && fleet_.nodes[node]->process.life() == life) {
          read_from(node, job, reached, true);
        }
      });
    }
  };
  fleet_.core(node).results.read(JobId(job.id), position, kPageBytes, kWait, take);
}

void Callers::take_page(const JobPlan& job, const batch::ResultPage& page) {
  for (std::uint32_t number = 0; number < page.results.size(); ++number) {
    const wire::ResultRecordT& record = page.results[number];
    const std::string prompt = item_prompt(job, record.index);
    const bool sound =
        record.failed ? oracle_.may_have_failed(prompt) : record.body == expected_text(job, record.index);
    if (!sound || record.item_id != prompt) {
      oracle_.violated(Promise::item_exactly_once, job.id + " has a wrong result", world_.now());
      continue;
    }
    oracle_.position_read(job.id, page.from + number, record.index, std::to_string(record.attempt) + record.body,
                          world_.now());
  }
}

void Callers::submit(std::uint32_t choice, std::size_t index) {
  const auto node = fleet_.pick_running(choice);
  if (!node) {
    return;
  }
  node::NodeCore& at = fleet_.core(*node);
  batch::JobRequest request;
  request.tenant = "tenant";
  request.idempotency_key = "job-key-" + std::to_string(index);
  request.template_name = "bulk";
  request.host = jobs_[index].listed ? kListedHost : "";
  auto submission =
      std::make_shared<batch::Submission>(at.environment, at.counters, at.ledger, at.submissions, std::move(request));
  add_items(*submission, jobs_[index]);
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

void Callers::cancel(std::uint32_t choice) {
  if (!jobs_.empty()) {
    if (const auto node = fleet_.pick_running(choice)) {
      cancel_job_at(*node, choice / 8 % jobs_.size());
    }
  }
}

void Callers::cancel_job_at(unsigned node, std::size_t index) {
  const std::string id = jobs_[index].id;
  if (id.empty()) {
    return;
  }
  oracle_.job_cancel_sent(id);
  fleet_.core(node).cancel_job(JobId(id), [this, id](const Result<wire::JobRecordT>& result) {
    if (succeeded(result) && value_of(result).state == wire::JobState::Cancelled) {
      oracle_.job_cancelled(id, world_.now());
    }
  });
}

void Callers::read_some_results(std::uint32_t choice) {
  const auto node = fleet_.pick_running(choice);
  if (node && !jobs_.empty()) {
    read_results(*node, jobs_[choice / 8 % jobs_.size()]);
  }
}

void Callers::read_results(unsigned node, const JobPlan& job) {
  if (job.id.empty() || job.listed) {
    return;
  }
  constexpr std::uint32_t kAll = 10'000;
  fleet_.core(node).ledger.scan(
      batch::result_prefix(JobId(job.id)), "", kAll, [this, job](const Result<ledger::ScanPage>& result) {
        if (!succeeded(result)) {
          return;
        }
        for (const ledger::ScanRecord& record : value_of(result).records) {
          const auto item = wire::decode_record<wire::ResultRecordT>(record.value);
          if (!item || item->failed ||
              item->body != emulator::full_answer(item_prompt(job, item->index), profile_.batch_tokens)) {
            oracle_.violated(Promise::item_exactly_once, record.key + " has a wrong result", world_.now());
            continue;
          }
          oracle_.result_read(job.id, item->index, std::to_string(item->attempt) + item->body, world_.now());
        }
      });
}

void Callers::declare(std::uint32_t choice, std::uint32_t object) {
  const auto node = fleet_.pick_running(choice);
  if (!node) {
    return;
  }
  const std::string name = "object-" + std::to_string(object % kObjectNames);
  object_store::PutRequest request;
  request.key = {config::kTemplateKind, name};
  request.body = "{\"pool\":\"model\",\"max_tokens\":" + std::to_string(1 + ++declaration_number_) + "}";
  const config::Entry* present = fleet_.core(*node).objects.table().find(request.key);
  request.expected_revision = present == nullptr ? 0 : present->revision;
  const std::string body = request.body;
  fleet_.core(*node).declarations.declare(std::move(request), [this, name, body](const Result<std::uint64_t>& result) {
    if (succeeded(result)) {
      oracle_.declaration_accepted(name, value_of(result), body);
    }
  });
}

void Callers::check() {
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

}  // namespace madderdeck::simulation
