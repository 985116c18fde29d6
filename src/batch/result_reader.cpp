#include "batch/result_reader.hpp"

#include <algorithm>

namespace madderdeck::batch {
namespace {
constexpr Duration kPollInterval = 200ms;
constexpr std::uint32_t kScanPage = 1000;
constexpr std::size_t kMaxFetches = 64;  ///< Results that one reading fetches at the same time.
constexpr std::size_t kMaxRememberedBytes = 6 << 20;
constexpr std::size_t kMaxRememberedJobs = 256;

/// What is remembered of jobs is bounded, and this job was dropped for another one.
constexpr char kForgotten[] = "the job was forgotten while it was read";

Error no_job(const JobId& job) { return Error{ErrorKind::not_found, "no job " + job.str()}; }
}  // namespace

ResultReader::ResultReader(Environment& environment, Counters& counters, ledger::Client& ledger, DecisionLog& log)
    : environment_(environment), counters_(counters), ledger_(ledger), log_(log) {}

void ResultReader::read(const JobId& job, std::uint32_t from, std::size_t max_bytes, Duration wait,
                        ResultPageDone done) {
  counters_["batch_result_reads_total"]++;
  auto reading = std::make_shared<Reading>(Reading{job, from, max_bytes, environment_.now() + wait, std::move(done)});
  reading->started = environment_.now();
  with_job(job, [this, reading](Result<Known*> result) {
    if (!succeeded(result) && error_of(result).kind == ErrorKind::not_found) {
      reading->done(error_of(result));
      return;
    }
    if (!succeeded(result)) {
      fail(*reading, "job", error_of(result).detail);
      return;
    }
    read_order(reading);
  });
}

/// Goes on with what is known of @p job, reading its record where nothing is.
void ResultReader::with_job(const JobId& job, std::function<void(Result<Known*>)> next) {
  if (const auto entry = known_.find(job); entry != known_.end()) {
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
        forget_old();
        Known& known = known_[job];
        known.total = record->items;
        known.submission = record->submission;
        known.used_at = environment_.now();
        next(&known);
        return;
      }
    }
    next(no_job(job));
  };
  ledger_.scan(job_key(job), "", 2, lifetime_.guard(take));
}

void ResultReader::forget_old() {
  while (!known_.empty() && (known_.size() >= kMaxRememberedJobs || bytes_ > kMaxRememberedBytes)) {
    const auto oldest = std::min_element(known_.begin(), known_.end(), [](const auto& left, const auto& right) {
      return left.second.used_at < right.second.used_at;
    });
    bytes_ -= oldest->second.bytes;
    known_.erase(oldest);
  }
}

void ResultReader::read_order(const ReadingPointer& reading) {
  const auto entry = known_.find(reading->job);
  if (entry != known_.end() && entry->second.order.size() == entry->second.total) {
    read_results(reading);
    return;
  }
  const auto take = [this, reading](Result<ledger::ScanPage> result) {
    const auto found = known_.find(reading->job);
    if (!succeeded(result) || found == known_.end()) {
      fail(*reading, "order", succeeded(result) ? kForgotten : error_of(result).detail);
      return;
    }
    std::vector<std::uint32_t> order;
    for (const ledger::ScanRecord& record : value_of(result).records) {
      if (const auto segment = wire::decode_record<wire::OrderRecordT>(record.value)) {
        order.insert(order.end(), segment->indexes.begin(), segment->indexes.end());
      }
    }
    if (order.size() > found->second.order.size()) {
      found->second.order = std::move(order);
    }
    const bool none = found->second.order.size() <= reading->from;
    const bool complete = found->second.order.size() == found->second.total;
    if (none && !complete && environment_.now() + kPollInterval < reading->deadline) {
      environment_.after(kPollInterval, lifetime_.guard([this, reading] { read_order(reading); }));
      return;
    }
    read_results(reading);
  };
  ledger_.scan(order_prefix(reading->job), "", kScanPage, lifetime_.guard(take));
}

void ResultReader::remember(Known& known, wire::ResultRecordT record) {
  const std::uint32_t index = record.index;
  const std::size_t size = record.body.size();
  if (known.results.emplace(index, std::move(record)).second) {
    known.bytes += size;
    bytes_ += size;
  }
}

/// Results are written before they are listed, so what is listed can be read. They are fetched one
/// by one: a scan of all would bring those again that are known.
void ResultReader::read_results(const ReadingPointer& reading) {
  const auto entry = known_.find(reading->job);
  if (entry == known_.end()) {
    fail(*reading, "results", kForgotten);
    return;
  }
  const Known& known = entry->second;
  std::vector<std::uint32_t> missing;
  for (std::size_t position = reading->from; position < known.order.size(); ++position) {
    if (missing.size() == kMaxFetches) {
      break;
    }
    if (!known.results.contains(known.order[position])) {
      missing.push_back(known.order[position]);
    }
  }
  if (missing.empty()) {
    answer(reading);
    return;
  }
  reading->fetching = missing.size();
  for (const std::uint32_t index : missing) {
    fetch_result(reading, index);
  }
}

void ResultReader::fetch_result(const ReadingPointer& reading, std::uint32_t index) {
  const auto take = [this, reading](Result<ledger::ScanPage> result) {
    const auto found = known_.find(reading->job);
    if (succeeded(result) && found != known_.end()) {
      for (const ledger::ScanRecord& record : value_of(result).records) {
        if (auto decoded = wire::decode_record<wire::ResultRecordT>(record.value)) {
          remember(found->second, std::move(*decoded));
        }
      }
    }
    if (!succeeded(result)) {
      reading->last_failure = error_of(result).detail;
    }
    if (--reading->fetching == 0) {
      answer(reading);
    }
  };
  ledger_.scan(result_key(reading->job, index), "", 1, lifetime_.guard(take));
}

void ResultReader::answer(const ReadingPointer& reading) {
  const auto entry = known_.find(reading->job);
  if (entry == known_.end()) {
    fail(*reading, "results", kForgotten);
    return;
  }
  const Known& known = entry->second;
  ResultPage page;
  page.total = known.total;
  page.from = reading->from;
  std::size_t bytes = 0;
  for (std::size_t position = reading->from; position < known.order.size(); ++position) {
    const auto result = known.results.find(known.order[position]);
    if (result == known.results.end()) {
      if (page.results.empty()) {
        fail(*reading, "results", reading->last_failure);
        return;
      }
      break;
    }
    bytes += result->second.body.size() + result->second.item_id.size();
    if (bytes > reading->max_bytes && !page.results.empty()) {
      break;
    }
    page.results.push_back(result->second);
  }
  reading->done(std::move(page));
}

void ResultReader::fail(const Reading& reading, const char* stage, const std::string& reason) {
  counters_["batch_result_reads_failed_total"]++;
  log_.record("results_read_failed", {{"job", reading.job.str()},
                                      {"from", reading.from},
                                      {"stage", stage},
                                      {"reason", reason},
                                      {"took_ms", (environment_.now() - reading.started) / 1ms}});
  reading.done(Error{ErrorKind::unavailable, "the job's results cannot be read now"});
}

void ResultReader::read_item(const JobId& job, const std::string& item_id, ItemBodyDone done) {
  with_job(job, [this, job, item_id, done](Result<Known*> result) {
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
    ledger_.scan(prefix, "", kScanPage, lifetime_.guard(take));
  });
}

}  // namespace madderdeck::batch
