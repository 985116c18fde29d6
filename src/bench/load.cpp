#include "bench/load.hpp"

#include <boost/json.hpp>

#include "common/hash.hpp"
#include "emulator/engine_model.hpp"
#include "net/sse_reader.hpp"

namespace madderdeck::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

net::Headers caller_headers(const std::string& api_key, const std::string& idempotency_key = "") {
  net::Headers headers{{"Authorization", "Bearer " + api_key}, {"Content-Type", "application/json"}};
  if (!idempotency_key.empty()) {
    headers.push_back({"Idempotency-Key", idempotency_key});
  }
  return headers;
}

/// @return the "ran" member of a problem document; empty when there is none.
std::string ran_of(const std::string& body) {
  boost::system::error_code failure;
  const json::value problem = json::parse(body, failure);
  const json::object* fields = failure ? nullptr : problem.if_object();
  const json::value* ran = fields == nullptr ? nullptr : fields->if_contains("ran");
  return ran != nullptr && ran->is_string() ? std::string(ran->as_string()) : std::string();
}

const std::string& pick(const std::vector<std::string>& from, std::mt19937_64& generator) {
  return from[generator() % from.size()];
}

}  // namespace

// --- open loop ------------------------------------------------------------------------------

OpenLoop::OpenLoop(LoadTarget& target, std::uint64_t seed, std::function<double(double)> rate,
                   std::function<void(double)> action)
    : target_(target), clock_(seed), rate_(std::move(rate)), action_(std::move(action)) {}

void OpenLoop::start() {
  due_s_ = target_.now_s();
  schedule();
}

void OpenLoop::schedule() {
  constexpr double kPause = 0.05;
  const double rate = rate_(due_s_);
  const bool arrives = rate > 0;
  due_s_ += arrives ? clock_.gap(rate) : kPause;
  const double wait = std::max(0.0, due_s_ - target_.now_s());
  std::weak_ptr<bool> alive = alive_;
  target_.http.after(std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6)), [this, alive, arrives] {
    if (alive.expired() || stopped_) {
      return;
    }
    if (arrives) {
      action_(due_s_);
    }
    schedule();
  });
}

// --- live calls -----------------------------------------------------------------------------

namespace {

/// One live call under way.
struct LiveCall {
  std::string expected;
  std::string text;
  std::string refusal;
  double due_s = 0;
  double first_s = 0;
  unsigned status = 0;
  bool done = false;
};

void take_live_event(LiveCall& call, std::string_view data, double now_s) {
  if (data == net::kSseDone) {
    call.done = true;
    return;
  }
  boost::system::error_code failure;
  const json::value event = json::parse(json::string_view(data.data(), data.size()), failure);
  if (failure || !event.is_object() || !event.as_object().contains("choices")) {
    return;
  }
  const json::object& choice = event.as_object().at("choices").as_array().at(0).as_object();
  if (const json::value* text = choice.if_contains("text"); text != nullptr && !text->as_string().empty()) {
    call.first_s = call.text.empty() ? now_s : call.first_s;
    call.text.append(text->as_string());
  }
}

}  // namespace

LiveLoad::LiveLoad(LoadTarget& target, LiveOptions options, std::uint64_t seed)
    : target_(target), options_(std::move(options)), generator_(seed) {}

void FatalLoad::send() {
  const std::string& gateway = target_.gateways[sent_++ % target_.gateways.size()];
  constexpr std::uint32_t kTokens = 500;  // more than an engine makes before it ends
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers = {{"Authorization", "Bearer " + target_.api_key}, {"Content-Type", "application/json"}};
  request.body = json::serialize(
      json::object{{"model", "agent-reply"}, {"prompt", text_}, {"max_tokens", kTokens}, {"stream", true}});
  target_.http.client.fetch(
      gateway, std::move(request), [this](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
        const auto* response = std::get_if<net::SimpleResponse>(&result);
        const bool held =
            response != nullptr && response->body.find("urn:madderdeck:error:quarantined") != std::string::npos;
        held_back_ += held ? 1 : 0;
      });
}

void LiveLoad::send(double due_s) {
  const std::uint64_t group = generator_() % options_.prefix_groups;
  std::string prompt;
  while (prompt.size() < options_.prefix_bytes) {
    prompt += hex64(stable_hash(std::to_string(group), prompt.size()));
  }
  prompt += " question " + std::to_string(++number_);
  auto call = std::make_shared<LiveCall>();
  call->due_s = due_s;
  call->expected = emulator::full_answer(options_.rendered_system_prompt + prompt, options_.tokens);
  ++counts_.sent;
  ++open_;
  const json::object body{
      {"model", options_.template_name}, {"prompt", prompt}, {"max_tokens", options_.tokens}, {"stream", true}};
  auto reader = std::make_shared<net::SseReader>(
      [this, call](std::string_view data) { take_live_event(*call, data, target_.now_s()); });
  net::ClientCallEvents events;
  events.header = [call](const net::ResponseHead& head) { call->status = head.status; };
  events.body = [call, reader](std::string_view piece) {
    if (call->status == 200) {
      reader->feed(piece);
    } else {
      call->refusal.append(piece);
    }
  };
  events.done = [this, call, reader] {
    --open_;
    if (call->status != 200 || !call->done) {
      failed_at_.push_back(target_.now_s());
    }
    if (call->status != 200) {
      ++(ran_of(call->refusal) == "no" ? counts_.not_run : counts_.unknown);
    } else if (!call->done) {
      ++counts_.cut_off;
    } else if (call->text != call->expected) {
      ++counts_.wrong;
    } else {
      ++counts_.answered;
      first_token_.add(call->due_s, 1000 * (call->first_s - call->due_s));
      per_token_.add(call->due_s, 1000 * (target_.now_s() - call->first_s) / options_.tokens);
    }
  };
  events.failed = [this](net::CallBreak reason) {
    --open_;
    failed_at_.push_back(target_.now_s());
    ++(reason == net::CallBreak::connect_failed ? counts_.not_run : counts_.cut_off);
  };
  net::HttpRequest request{"POST", "/v1/completions", caller_headers(target_.api_key), json::serialize(body)};
  target_.http.client.start(pick(target_.gateways, generator_), std::move(request), std::move(events));
}

// --- bookings -------------------------------------------------------------------------------

BookingLoad::BookingLoad(LoadTarget& target, BookingOptions options, std::uint64_t seed)
    : target_(target), options_(std::move(options)), generator_(seed) {}

void BookingLoad::send(double due_s) {
  constexpr unsigned kTries = 4;
  const std::string key = "booking-" + hex64(generator_()) + "-" + std::to_string(++number_);
  send_once(key, due_s, kTries);
  const double draw = std::uniform_real_distribution<double>()(generator_);
  if (draw < options_.resend_share) {
    send_once(key, due_s, 1);
  }
}

void BookingLoad::send_once(const std::string& key, double due_s, unsigned tries_left) {
  ++records_[key].sends;
  ++open_;
  net::HttpRequest request{"POST", "/v1/services/" + options_.template_name, caller_headers(target_.api_key, key),
                           "{\"patient\":\"" + key + "\"}"};
  net::ClientCallOptions call_options;
  call_options.fresh_connection = true;
  target_.http.client.fetch(
      pick(target_.gateways, generator_), std::move(request),
      [this, key, due_s, tries_left](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
        --open_;
        BookingRecord& record = records_[key];
        const auto* response = std::get_if<net::SimpleResponse>(&result);
        if (response != nullptr && response->status == 200) {
          record.answered = true;
          latency_.add(due_s, 1000 * (target_.now_s() - due_s));
          return;
        }
        failed_at_.push_back(target_.now_s());
        const bool connect_failed =
            response == nullptr && std::get<net::CallBreak>(result) == net::CallBreak::connect_failed;
        const bool not_run = connect_failed || (response != nullptr && ran_of(response->body) == "no");
        record.unknown = record.unknown || !not_run;
        const bool comes_back = std::uniform_real_distribution<double>()(generator_) < options_.retry_share;
        if (tries_left > 1 && comes_back) {
          target_.http.after(std::chrono::seconds(1),
                             [this, key, due_s, tries_left] { send_once(key, due_s, tries_left - 1); });
        }
      },
      call_options);
}

// --- batch jobs -----------------------------------------------------------------------------

BatchLoad::BatchLoad(LoadTarget& target, BatchOptions options, std::uint64_t seed)
    : target_(target), options_(std::move(options)), generator_(seed), run_name_(hex64(seed)) {}

std::string BatchLoad::gateway() { return pick(target_.gateways, generator_); }

std::string BatchLoad::prompt_of(std::uint64_t job_number, std::uint32_t index) const {
  return "referral " + std::to_string(job_number) + " item " + std::to_string(index);
}

std::string BatchLoad::body_of(std::uint64_t job_number) const {
  std::string body;
  for (std::uint32_t index = 0; index < options_.items; ++index) {
    body += "{\"prompt\":\"" + prompt_of(job_number, index) + "\",\"max_tokens\":" + std::to_string(options_.tokens) +
            "}\n";
  }
  return body;
}

void BatchLoad::submit() {
  auto job = std::make_shared<BatchJobState>();
  job->number = jobs_.size();
  job->key = run_name_ + "-" + std::to_string(job->number);
  job->items = options_.items;
  jobs_.push_back(job);
  submit_again(job, std::make_shared<std::string>(body_of(job->number)));
}

void BatchLoad::submit_again(const std::shared_ptr<BatchJobState>& job, const std::shared_ptr<std::string>& body) {
  net::HttpRequest request{"POST", "/v1/batches?template=" + options_.template_name,
                           caller_headers(target_.api_key, job->key), *body};
  net::ClientCallOptions call_options;
  call_options.fresh_connection = true;
  target_.http.client.fetch(
      gateway(), std::move(request),
      [this, job, body](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
        const auto* response = std::get_if<net::SimpleResponse>(&result);
        if (response != nullptr && (response->status == 200 || response->status == 201)) {
          job->id = std::string(json::parse(response->body).at("id").as_string());
          return;
        }
        target_.http.after(milliseconds(500), [this, job, body] { submit_again(job, body); });
      },
      call_options);
}

void BatchLoad::poll() {
  for (const auto& job : jobs_) {
    if (job->id.empty() || job->completed_all) {
      continue;
    }
    net::HttpRequest request{"GET", "/v1/batches/" + job->id, caller_headers(target_.api_key), ""};
    target_.http.client.fetch(gateway(), std::move(request),
                              [job](const std::variant<net::SimpleResponse, net::CallBreak>& result) {
                                const auto* response = std::get_if<net::SimpleResponse>(&result);
                                if (response == nullptr || response->status != 200) {
                                  return;
                                }
                                const json::value status = json::parse(response->body);
                                job->completed = static_cast<std::uint32_t>(status.at("completed_items").as_int64());
                                job->completed_all = status.at("status").as_string() == "completed";
                              });
  }
}

ResultCheck BatchLoad::check(const BatchJobState& job) {
  constexpr unsigned kTries = 50;
  ResultCheck check;
  std::vector<unsigned> seen(job.items, 0);
  std::string after;
  unsigned failures = 0;
  while (failures < kTries) {
    const std::string target = "/v1/batches/" + job.id + "/results" + (after.empty() ? "" : "?after=" + after);
    const auto response = target_.http.call(gateway(), "GET", target, "", caller_headers(target_.api_key));
    if (!response || response->status != 200) {
      ++failures;
      target_.http.run_for(milliseconds(200));
      continue;
    }
    std::istringstream lines(response->body);
    for (std::string line; std::getline(lines, line);) {
      const json::value result = json::parse(line);
      const auto index = static_cast<std::uint32_t>(result.at("index").as_int64());
      ++check.results;
      ++seen.at(index);
      const std::string expected =
          emulator::full_answer(options_.rendered_system_prompt + prompt_of(job.number, index), options_.tokens);
      check.wrong += result.at("output").as_string() != expected ? 1 : 0;
    }
    after = std::string(net::find_header(response->headers, "X-Next-After"));
    if (after.empty()) {
      break;
    }
  }
  for (const unsigned times : seen) {
    check.missing += times == 0 ? 1 : 0;
    check.duplicated += times > 1 ? times - 1 : 0;
  }
  return check;
}

std::uint64_t BatchLoad::accepted_items() const {
  std::uint64_t total = 0;
  for (const auto& job : jobs_) {
    total += job->id.empty() ? 0 : job->items;
  }
  return total;
}

std::uint64_t BatchLoad::completed_items() const {
  std::uint64_t total = 0;
  for (const auto& job : jobs_) {
    total += job->completed;
  }
  return total;
}

bool BatchLoad::all_complete() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& job) { return job->completed_all; });
}

}  // namespace madderdeck::bench
