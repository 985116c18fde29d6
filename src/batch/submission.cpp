#include "batch/submission.hpp"

#include "common/hash.hpp"

namespace madderdeck::batch {

Submission::Submission(Environment& environment, Counters& counters, ledger::Client& ledger, submission_window& window,
                       JobRequest request)
    : environment_(environment),
      counters_(counters),
      ledger_(ledger),
      window_(window),
      request_(std::move(request)),
      job_(job_id_for(request_.tenant, request_.idempotency_key)),
      submission_(hex64(environment.random()) + hex64(environment.random())) {}

Status Submission::add(std::string_view item, std::uint32_t tokens) {
  if (items_ >= kMaxItemsPerJob) {
    return Error{ErrorKind::limit_exceeded, "more than " + std::to_string(kMaxItemsPerJob) + " items"};
  }
  if (item.size() > request_.max_item_bytes) {
    return Error{ErrorKind::limit_exceeded, "item " + std::to_string(items_) + " is larger than " +
                                                std::to_string(request_.max_item_bytes) + " bytes"};
  }
  if (failure_) {
    return *failure_;
  }
  ++items_;
  if (tokens > 0) {
    tokens_.resize(items_);
    tokens_.back() = tokens;
  }
  digest_ = stable_hash(item, digest_);
  chunk_.items.emplace_back(item);
  if (chunk_.items.size() == kItemsPerChunk) {
    write_chunk();
  }
  return Ok{};
}

Submission::~Submission() { leave_window(submission_end::abandoned); }

bool Submission::enter_window(std::size_t bytes) {
  if (window_bytes_ > 0) {
    window_.add(bytes);
  } else if (window_.enter(bytes)) {
    entered_at_ = environment_.now();
  } else {
    return false;
  }
  window_bytes_ += bytes;
  return true;
}

void Submission::leave_window(submission_end end) {
  if (window_bytes_ > 0) {
    window_.leave(window_bytes_, environment_.now() - entered_at_, end);
    window_bytes_ = 0;
  }
}

void Submission::write_chunk() {
  chunk_.first_index = chunks_ * kItemsPerChunk;
  wire::Bytes encoded = wire::encode_record(chunk_);
  if (failure_ || !enter_window(encoded.size())) {
    failure_ = failure_.value_or(Error{ErrorKind::unavailable, "as many jobs are being stored as can be in time"});
    chunk_ = wire::ChunkRecordT();
    return;
  }
  ++chunks_in_flight_;
  ledger_.write_exclusive(
      chunk_key(job_, submission_, chunks_), std::move(encoded),
      lifetime_.guard([this](const Result<ledger::OptionalValue>& result) { on_chunk_written(result); }));
  ++chunks_;
  chunk_ = wire::ChunkRecordT();
}

void Submission::on_chunk_written(const Result<ledger::OptionalValue>& result) {
  --chunks_in_flight_;
  if (!succeeded(result) && !failure_) {
    // No job record exists yet, so nothing of the job has been accepted.
    failure_ = Error{ErrorKind::unavailable, "the job's items could not be stored durably"};
  }
  if (done_ && (chunks_in_flight_ == 0 || failure_)) {
    accept_job();
  } else if (room_hook_ && !congested()) {
    room_hook_();
  }
}

void Submission::finish(SubmitDone done) {
  done_ = std::move(done);
  if (!chunk_.items.empty()) {
    write_chunk();
  }
  if (chunks_in_flight_ == 0 || failure_) {
    accept_job();
  }
}

void Submission::accept_job() {
  if (failure_) {
    complete(*failure_);
    return;
  }
  wire::JobRecordT record;
  record.id = job_.str();
  record.tenant = request_.tenant;
  record.template_name = request_.template_name;
  record.submission = submission_;
  record.digest = digest_;
  record.items = items_;
  record.chunks = chunks_;
  record.priority = request_.priority;
  record.accepted_at_ms = environment_.unix_milliseconds();
  record.deadline_ms = request_.deadline_ms;
  record.host = request_.host;
  record.route_prefix = request_.route_prefix;
  record.routes_version = request_.routes_version;
  record.give_up_at_ms = request_.give_up_at_ms;
  record.item_tokens = tokens_;
  record.state = wire::JobState::Accepted;
  const wire::Bytes encoded = wire::encode_record(record);
  const auto put_if_absent = [encoded](const ledger::OptionalValue& current) {
    return current ? ledger::OptionalValue{} : ledger::OptionalValue{encoded};
  };
  ledger_.change(job_key(job_), put_if_absent, lifetime_.guard([this](Result<ledger::OptionalValue> result) {
    if (!succeeded(result)) {
      complete(error_of(result));
      return;
    }
    const auto standing = wire::decode_record<wire::JobRecordT>(*value_of(result));
    if (!standing) {
      complete(Error{ErrorKind::corrupted, "job record"});
      return;
    }
    const bool mine = standing->submission == submission_;
    const bool same_items = standing->digest == digest_ && standing->items == items_;
    if (!mine && (!same_items || standing->template_name != request_.template_name)) {
      complete(Error{ErrorKind::conflict, "the idempotency key is already used by another job"});
      return;
    }
    counters_[mine ? "jobs_accepted_total" : "jobs_resent_total"]++;
    counters_["job_items_accepted_total"] += mine ? items_ : 0;
    complete(SubmittedJob{*standing, !mine});
  }));
}

void Submission::complete(Result<SubmittedJob> result) {
  const bool conflict = !succeeded(result) && error_of(result).kind == ErrorKind::conflict;
  leave_window(succeeded(result) ? submission_end::stored
                                 : (conflict ? submission_end::abandoned : submission_end::failed));
  SubmitDone done;
  std::swap(done, done_);
  if (done) {
    done(std::move(result));
  }
}

}  // namespace madderdeck::batch
