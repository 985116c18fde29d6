/// @file Batch jobs: submission, progress, results, cancellation.

#include <boost/json.hpp>
#include <charconv>

#include "batch/item.hpp"
#include "batch/item_failure.hpp"
#include "gateway/api.hpp"
#include "gateway/problem.hpp"

namespace madderdeck::gateway {
namespace {

namespace json = boost::json;
constexpr std::uint32_t kMaxResultPage = 1000;
constexpr std::uint32_t kRecordsPerScan = 4000;
constexpr char kPrefix[] = "/v1/batches";

const char* state_name(wire::JobState state) {
  switch (state) {
    case wire::JobState::Accepted:
      return "in_progress";
    case wire::JobState::Cancelled:
      return "cancelled";
    case wire::JobState::Completed:
      return "completed";
  }
  return "unknown";
}

json::object describe(const wire::JobRecordT& record) {
  return json::object{{"id", record.id},
                      {"object", "batch"},
                      {"status", state_name(record.state)},
                      {"template", record.template_name},
                      {"items", record.items},
                      {"priority", record.priority},
                      {"accepted_at_ms", record.accepted_at_ms},
                      {"deadline_ms", record.deadline_ms}};
}

std::uint64_t parse_number(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Submits a job line by line as its body arrives.
class JobUpload : public std::enable_shared_from_this<JobUpload> {
 public:
  JobUpload(ApiContext& context, ExchangePointer exchange, batch::JobRequest request)
      : context_(context),
        exchange_(std::move(exchange)),
        submission_(context.core.environment, context.core.counters, context.core.ledger, context.core.submissions,
                    std::move(request)) {}

  void begin() {
    const auto self = shared_from_this();
    submission_.set_ready_hook([self] { self->request_more_body(); });
    exchange_->on_caller_gone([self] { self->end(); });
    exchange_->read_body([self](std::string_view piece, bool last, std::function<void()> more) {
      self->on_piece(piece, last, std::move(more));
    });
  }

 private:
  void on_piece(std::string_view piece, bool last, std::function<void()> more) {
    line_.append(piece);
    std::size_t start = 0;
    for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', start)) {
      if (!add_line(std::string_view(line_).substr(start, end - start))) {
        return;
      }
      start = end + 1;
    }
    line_.erase(0, start);
    if (line_.size() > batch::kMaxItemBytes) {
      refuse(Error{ErrorKind::limit_exceeded,
                   "an item is larger than " + std::to_string(batch::kMaxItemBytes) + " bytes"});
      return;
    }
    if (last) {
      if (add_line(line_)) {
        finish();
      }
      return;
    }
    more_ = std::move(more);
    request_more_body();
  }

  bool add_line(std::string_view line) {
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      return true;
    }
    const auto item = batch::parse_item(line);
    const Status taken = succeeded(item) ? submission_.add(line) : Status(error_of(item));
    if (!succeeded(taken)) {
      const Error& error = error_of(taken);
      refuse(Error{error.kind, "line " + std::to_string(submission_.items() + 1) + ": " + error.detail});
      return false;
    }
    return true;
  }

  void request_more_body() {
    if (!more_ || submission_.congested()) {
      return;
    }
    std::function<void()> more;
    std::swap(more, more_);
    more();
  }

  void finish() {
    if (submission_.items() == 0) {
      refuse(Error{ErrorKind::invalid_argument, "the job has no items"});
      return;
    }
    const auto self = shared_from_this();
    submission_.finish([self](const Result<batch::SubmittedJob>& result) {
      if (self->ended_) {
        return;
      }
      if (!succeeded(result)) {
        self->refuse(error_of(result));
        return;
      }
      const batch::SubmittedJob& job = value_of(result);
      json::object answer = describe(job.record);
      answer["existed"] = job.existed;
      self->exchange_->respond({job.existed ? 200U : 201U, "application/json", {}, json::serialize(answer)});
      self->context_.core.announce_job(JobId(job.record.id), false);
      self->end();
    });
  }

  void refuse(const Error& error) {
    if (!ended_) {
      context_.core.counters["job_submissions_refused_total"]++;
      const bool transient = error.kind == ErrorKind::unavailable || error.kind == ErrorKind::ambiguous;
      const auto ran = error.kind == ErrorKind::ambiguous ? routing::Ran::unknown : routing::Ran::no;
      exchange_->respond(
          problem(routing::Refusal{error, ran, transient ? submission_.retry_after() : Duration::zero()}));
    }
    end();
  }

  void end() {
    ended_ = true;
    more_ = nullptr;
    submission_.set_ready_hook(nullptr);
  }

  ApiContext& context_;
  const ExchangePointer exchange_;
  batch::Submission submission_;
  std::string line_;
  std::function<void()> more_;
  bool ended_ = false;
};

void submit(ApiContext& context, const ExchangePointer& exchange, const std::shared_ptr<const config::Tenant>& tenant) {
  const net::HttpRequest& request = exchange->request();
  batch::JobRequest job;
  job.tenant = tenant->name;
  job.idempotency_key = std::string(net::find_header(request.headers, "Idempotency-Key"));
  job.template_name = request.query("template");
  job.priority = static_cast<std::uint32_t>(parse_number(request.query("priority")));
  job.deadline_ms = parse_number(request.query("deadline_ms"));
  const auto kind = context.core.catalog.find_template(job.template_name);
  if (!kind) {
    exchange->respond(problem(Error{ErrorKind::not_found, "no template named '" + job.template_name + "'"}));
  } else if (!kind->batch || kind->target != config::Target::model) {
    exchange->respond(problem(Error{ErrorKind::invalid_argument, "template " + kind->name + " takes no batch jobs"}));
  } else if (job.idempotency_key.empty()) {
    exchange->respond(problem(Error{ErrorKind::invalid_argument, "Idempotency-Key: required for a batch job"}));
  } else {
    std::make_shared<JobUpload>(context, exchange, std::move(job))->begin();
  }
}

using OnJobRecord = std::function<void(const wire::JobRecordT&)>;

/// Reads the record of a job and calls @p next with it; answers with an error if the tenant has no such job or the read
/// fails.
void with_job(ApiContext& context, const ExchangePointer& exchange, const std::string& tenant, const JobId& job,
              OnJobRecord next) {
  context.core.ledger.read(batch::job_key(job), [exchange, tenant, job, next](Result<ledger::OptionalValue> result) {
    if (!succeeded(result)) {
      exchange->respond(problem(routing::Refusal{error_of(result), routing::Ran::no, 1s}));
      return;
    }
    const auto record = value_of(result) ? wire::decode_record<wire::JobRecordT>(*value_of(result)) : std::nullopt;
    if (!record || record->tenant != tenant) {
      exchange->respond(problem(Error{ErrorKind::not_found, "no job " + job.str()}));
      return;
    }
    next(*record);
  });
}

/// Counts the results of a job, reading one page at a time.
void count_results(ApiContext& context, const ExchangePointer& exchange, const wire::JobRecordT& record,
                   const std::string& after, std::uint32_t counted, std::uint32_t failed) {
  const JobId job(record.id);
  context.core.ledger.scan(batch::result_prefix(job), after, kRecordsPerScan,
                           [&context, exchange, record, counted, failed](const Result<ledger::ScanPage>& result) {
                             if (!succeeded(result)) {
                               exchange->respond(problem(routing::Refusal{error_of(result), routing::Ran::no, 1s}));
                               return;
                             }
                             const ledger::ScanPage& page = value_of(result);
                             std::uint32_t failures = failed;
                             for (const ledger::ScanRecord& entry : page.records) {
                               const auto item = wire::decode_record<wire::ResultRecordT>(entry.value);
                               failures += item && item->failed ? 1 : 0;
                             }
                             const auto total = counted + static_cast<std::uint32_t>(page.records.size());
                             if (!page.next_after.empty()) {
                               count_results(context, exchange, record, page.next_after, total, failures);
                               return;
                             }
                             json::object answer = describe(record);
                             answer["completed_items"] = total;
                             answer["failed_items"] = failures;
                             exchange->respond({200, "application/json", {}, json::serialize(answer)});
                           });
}

void send_results(ApiContext& context, const ExchangePointer& exchange, const wire::JobRecordT& record) {
  const JobId job(record.id);
  const std::string after_text = exchange->request().query("after");
  const std::string after =
      after_text.empty() ? "" : batch::result_key(job, static_cast<std::uint32_t>(parse_number(after_text)));
  const std::uint64_t asked = parse_number(exchange->request().query("limit"));
  const auto limit =
      static_cast<std::uint32_t>(asked == 0 ? kMaxResultPage : std::min<std::uint64_t>(asked, kMaxResultPage));
  context.core.ledger.scan(batch::result_prefix(job), after, limit, [exchange](const Result<ledger::ScanPage>& result) {
    if (!succeeded(result)) {
      exchange->respond(problem(routing::Refusal{error_of(result), routing::Ran::no, 1s}));
      return;
    }
    const ledger::ScanPage& page = value_of(result);
    net::HttpResponse response{200, "application/jsonl", {}, ""};
    for (const ledger::ScanRecord& entry : page.records) {
      const auto item = wire::decode_record<wire::ResultRecordT>(entry.value);
      if (!item) {
        exchange->respond(problem(Error{ErrorKind::corrupted, "result " + entry.key}));
        return;
      }
      const std::string_view output = item->failed ? batch::failure_text(*item) : std::string_view(item->body);
      response.body +=
          json::serialize(json::object{{"index", item->index}, {"failed", item->failed}, {"output", output}});
      response.body += '\n';
    }
    if (!page.next_after.empty()) {
      response.headers.push_back({"X-Next-After", std::to_string(batch::result_index(page.next_after))});
    }
    exchange->respond(std::move(response));
  });
}

void cancel(ApiContext& context, const ExchangePointer& exchange, const wire::JobRecordT& record) {
  context.core.cancel_job(JobId(record.id), [exchange](const Result<wire::JobRecordT>& result) {
    if (!succeeded(result)) {
      const auto ran = error_of(result).kind == ErrorKind::ambiguous ? routing::Ran::unknown : routing::Ran::no;
      exchange->respond(problem(routing::Refusal{error_of(result), ran, 1s}));
      return;
    }
    exchange->respond({200, "application/json", {}, json::serialize(describe(value_of(result)))});
  });
}

/// Lists the tenant's jobs, reading one replica group after the other.
void list_jobs(ApiContext& context, const ExchangePointer& exchange, const std::string& tenant, std::uint32_t group,
               const std::string& after, const std::shared_ptr<json::array>& found) {
  if (group >= context.core.ledger.group_map().groups.size()) {
    exchange->respond(
        {200, "application/json", {}, json::serialize(json::object{{"object", "list"}, {"data", std::move(*found)}})});
    return;
  }
  context.core.ledger.scan_group(
      group, batch::kJobPrefix, after, kRecordsPerScan,
      [&context, exchange, tenant, group, found](const Result<ledger::ScanPage>& result) {
        if (!succeeded(result)) {
          exchange->respond(problem(routing::Refusal{error_of(result), routing::Ran::no, 1s}));
          return;
        }
        const ledger::ScanPage& page = value_of(result);
        for (const ledger::ScanRecord& entry : page.records) {
          const auto record = wire::decode_record<wire::JobRecordT>(entry.value);
          if (record && record->tenant == tenant) {
            found->push_back(describe(*record));
          }
        }
        list_jobs(context, exchange, tenant, page.next_after.empty() ? group + 1 : group, page.next_after, found);
      });
}

}  // namespace

void handle_batches(ApiContext& context, const ExchangePointer& exchange,
                    const std::shared_ptr<const config::Tenant>& tenant) {
  const net::HttpRequest& request = exchange->request();
  std::string rest(request.path().substr(sizeof kPrefix - 1));
  if (rest.empty()) {
    if (request.method == "POST") {
      submit(context, exchange, tenant);
    } else {
      list_jobs(context, exchange, tenant->name, 0, "", std::make_shared<json::array>());
    }
    return;
  }
  rest.erase(0, 1);
  const std::size_t slash = rest.find('/');
  const JobId job(rest.substr(0, slash));
  const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method == "GET" && action.empty()) {
    with_job(context, exchange, tenant->name, job, [&context, exchange](const wire::JobRecordT& record) {
      count_results(context, exchange, record, "", 0, 0);
    });
  } else if (request.method == "GET" && action == "results") {
    with_job(context, exchange, tenant->name, job,
             [&context, exchange](const wire::JobRecordT& record) { send_results(context, exchange, record); });
  } else if (request.method == "POST" && action == "cancel") {
    with_job(context, exchange, tenant->name, job,
             [&context, exchange](const wire::JobRecordT& record) { cancel(context, exchange, record); });
  } else {
    exchange->respond(problem(Error{ErrorKind::not_found, "no such path"}));
  }
}

}  // namespace madderdeck::gateway
