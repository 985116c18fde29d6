#include "batch/result_reader.hpp"

#include <algorithm>

namespace madderdeck::batch {
namespace {
constexpr Duration kPollInterval = 200ms;
constexpr std::uint32_t kScanPage = 1000;
/// Most results that one request asks for; the jobs of known users have at most 200 items.
constexpr std::size_t kMaxFetchedResults = 256;
constexpr std::size_t kMaxCachedBytes = 6 << 20;
constexpr std::size_t kMaxCachedJobs = 256;
Error no_such_job_error(const JobId& job) { return Error{ErrorKind::not_found, "no job " + job.str()}; }
}  // namespace

ResultReader::ResultReader(Environment& environment, Counters& counters, ledger::Client& ledger, DecisionLog& log)
    : environment_(environment), counters_(counters), ledger_(ledger), log_(log) {}

void ResultReader::read(const JobId& job, std::uint32_t from, std::size_t max_bytes, Duration wait,
                        ResultPageDone done) {
  counters_["batch_result_reads_total"]++;
  auto reading = std::make_shared<ReadOperation>();
  reading->job = job;
  reading->from = from;
  reading->max_bytes = max_bytes;
  reading->started = environment_.now();
  reading->deadline = reading->started + wait;
  reading->answer_by = reading->deadline + kAnswerTimeout;
  reading->done = std::move(done);
  environment_.after(wait + kAnswerTimeout,
                     lifetime_.guard([this, reading] { answer(reading, "the answer deadline has passed"); }));
  with_cached_job(job, reading->answer_by, [this, reading](Result<CachedJob*> result) {
    if (!succeeded(result) && error_of(result).kind == ErrorKind::not_found) {
      finish(reading, error_of(result));
    } else if (!succeeded(result)) {
      fail(reading, "job", error_of(result).detail);
    } else if (!reading->answered) {
      reading->counted_as_reader = true;
      ++value_of(result)->readers;
      read_order(reading);
    }
  });
}

/// Calls @p next with the cached entry of @p job; reads the job's record first if the job is not cached.
void ResultReader::with_cached_job(const JobId& job, Timestamp until, std::function<void(Result<CachedJob*>)> next) {
  if (const auto entry = cached_jobs_.find(job); entry != cached_jobs_.end()) {
    entry->second.used_at = environment_.now();
    next(&entry->second);
    return;
  }
  const auto take = [this, job, next](Result<ledger::ScanPage> result) {
    if (!succeeded(result)) {
      next(error_of(result));
      return;
    }
    for (const ledger::ScanRecord& entry : value_of(result).records) {
      const auto record = entry.key == job_key(job) ? wire::decode_record<wire::JobRecordT>(entry.value) : std::nullopt;
      if (record) {
        evict_old_jobs();
        CachedJob& known = cached_jobs_[job];
        known.total = record->items;
        known.submission = record->submission;
        known.used_at = environment_.now();
        next(&known);
        return;
      }
    }
    next(no_such_job_error(job));
  };
  ledger_.scan_with_timeout(time_left_until(until), job_key(job), 2, lifetime_.guard(take));
}

void ResultReader::evict_old_jobs() {
  while (cached_jobs_.size() >= kMaxCachedJobs || cached_bytes_ > kMaxCachedBytes) {
    auto oldest = cached_jobs_.end();
    for (auto entry = cached_jobs_.begin(); entry != cached_jobs_.end(); ++entry) {
      const bool older = oldest == cached_jobs_.end() || entry->second.used_at < oldest->second.used_at;
      oldest = entry->second.readers == 0 && older ? entry : oldest;
    }
    if (oldest == cached_jobs_.end()) {
      return;  // every job is being read
    }
    cached_bytes_ -= oldest->second.bytes;
    cached_jobs_.erase(oldest);
  }
}

void ResultReader::read_order(const ReadOperationPointer& reading) {
  if (reading->answered) {
    return;
  }
  const CachedJob& before = cached_jobs_.at(reading->job);
  if (before.order.size() == before.total) {
    reading->order_read = true;
    read_results(reading);
    return;
  }
  const auto take = [this, reading](Result<ledger::ScanPage> result) {
    if (reading->answered) {
      return;
    }
    if (!succeeded(result)) {
      fail(reading, "order", error_of(result).detail);
      return;
    }
    reading->order_read = true;
    CachedJob& known = cached_jobs_.at(reading->job);
    std::vector<std::uint32_t> order;
    for (const ledger::ScanRecord& record : value_of(result).records) {
      if (const auto segment = wire::decode_record<wire::OrderRecordT>(record.value)) {
        order.insert(order.end(), segment->indexes.begin(), segment->indexes.end());
      }
    }
    if (order.size() > known.order.size()) {
      known.order = std::move(order);
    }
    const bool none = known.order.size() <= reading->from;
    const bool complete = known.order.size() == known.total;
    if (none && !complete && environment_.now() + kPollInterval < reading->deadline) {
      environment_.after(kPollInterval, lifetime_.guard([this, reading] { read_order(reading); }));
      return;
    }
    read_results(reading);
  };
  ledger_.scan_with_timeout(time_left_until(reading->answer_by), order_prefix(reading->job), kScanPage,
                            lifetime_.guard(take));
}

void ResultReader::cache_result(CachedJob& known, wire::ResultRecordT record) {
  const std::uint32_t index = record.index;
  const std::size_t size = record.body.size();
  if (known.results.emplace(index, std::move(record)).second) {
    known.bytes += size;
    cached_bytes_ += size;
  }
}

/// Results are written before they are listed, so all listed results can be read. One request fetches all results that
/// are missing. With one request for each result, retried when slow, a busy group never answered: in a simulation of 32
/// callers and machines with a tenth of a core, none of 32 jobs was read completely after 15 s.
void ResultReader::read_results(const ReadOperationPointer& reading) {
  const CachedJob& known = cached_jobs_.at(reading->job);
  std::vector<std::string> missing;
  for (std::size_t position = reading->from; position < known.order.size(); ++position) {
    if (missing.size() == kMaxFetchedResults) {
      break;
    }
    if (!known.results.contains(known.order[position])) {
      missing.push_back(result_key(reading->job, known.order[position]));
    }
  }
  if (missing.empty()) {
    answer(reading, "");
    return;
  }
  ledger_.fetch(
      missing, reading->max_bytes, time_left_until(reading->answer_by),
      lifetime_.guard([this, reading](const Result<ledger::ScanPage>& result) { take_results(reading, result); }));
}

void ResultReader::take_results(const ReadOperationPointer& reading, const Result<ledger::ScanPage>& result) {
  const auto known = cached_jobs_.find(reading->job);
  if (known != cached_jobs_.end() && succeeded(result)) {
    for (const ledger::ScanRecord& record : value_of(result).records) {
      if (auto decoded = wire::decode_record<wire::ResultRecordT>(record.value)) {
        cache_result(known->second, std::move(*decoded));
      }
    }
  }
  answer(reading, succeeded(result) ? "the replies hold no value of the first result" : error_of(result).detail);
}

void ResultReader::answer(const ReadOperationPointer& reading, const std::string& failure) {
  if (reading->answered) {
    return;
  }
  const auto entry = cached_jobs_.find(reading->job);
  if (!reading->order_read || entry == cached_jobs_.end()) {
    // An empty page would mean that the job has no results.
    fail(reading, reading->counted_as_reader ? "order" : "job", failure);
    return;
  }
  const CachedJob& known = entry->second;
  ResultPage page;
  page.total = known.total;
  page.from = reading->from;
  std::size_t bytes = 0;
  for (std::size_t position = reading->from; position < known.order.size(); ++position) {
    const auto result = known.results.find(known.order[position]);
    if (result == known.results.end() && page.results.empty()) {
      fail(reading, "results", failure);
      return;
    }
    if (result == known.results.end()) {
      break;
    }
    bytes += result->second.body.size() + result->second.item_id.size();
    if (bytes > reading->max_bytes && !page.results.empty()) {
      break;
    }
    page.results.push_back(result->second);
  }
  finish(reading, std::move(page));
}

void ResultReader::fail(const ReadOperationPointer& reading, const char* stage, const std::string& reason) {
  if (reading->answered) {
    return;
  }
  counters_["batch_result_reads_failed_total"]++;
  log_.record("results_read_failed", {{"job", reading->job.str()},
                                      {"from", reading->from},
                                      {"stage", stage},
                                      {"reason", reason},
                                      {"took_ms", (environment_.now() - reading->started) / 1ms}});
  finish(reading, Error{ErrorKind::unavailable, "the job's results cannot be read now"});
}

void ResultReader::finish(const ReadOperationPointer& reading, Result<ResultPage> result) {
  if (reading->answered) {
    return;
  }
  reading->answered = true;
  if (const auto known = cached_jobs_.find(reading->job); reading->counted_as_reader && known != cached_jobs_.end()) {
    --known->second.readers;
  }
  const ResultPageDone done = std::move(reading->done);
  done(std::move(result));
}

void ResultReader::read_item(const JobId& job, const std::string& item_id, ItemBodyDone done) {
  const Timestamp until = environment_.now() + kAnswerTimeout;
  with_cached_job(job, until, [this, job, item_id, done, until](Result<CachedJob*> result) {
    if (!succeeded(result)) {
      done(error_of(result));
      return;
    }
    const std::string prefix = "chunk/" + job.str() + "/" + value_of(result)->submission + "/";
    const auto take = [job, item_id, done](Result<ledger::ScanPage> page) {
      if (!succeeded(page)) {
        done(error_of(page));
        return;
      }
      for (const ledger::ScanRecord& record : value_of(page).records) {
        const auto chunk = wire::decode_record<wire::ChunkRecordT>(record.value);
        for (const std::string& encoded : chunk ? chunk->items : std::vector<std::string>()) {
          auto item = wire::decode_record<wire::HttpItemT>(encoded);
          if (item && item->id == item_id) {
            done(std::move(*item));
            return;
          }
        }
      }
      done(Error{ErrorKind::not_found, "job " + job.str() + " has no item " + item_id});
    };
    ledger_.scan_with_timeout(time_left_until(until), prefix, kScanPage, lifetime_.guard(take));
  });
}

}  // namespace madderdeck::batch
