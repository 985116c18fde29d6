#include "quarantine/held_back_marks.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "common/hash.hpp"

namespace madderdeck::quarantine {
namespace {

namespace json = boost::json;
using routing::request_fingerprint;

constexpr char kRequests[] = "requests";
constexpr char kPromptParts[] = "prompt_parts";

json::object format_mark(const crash_suspect& mark) {
  json::array ends;
  for (const backend_termination& end : mark.ends) {
    ends.push_back(json::object{
        {"backend", end.backend.str()}, {"at_ms", end.at}, {"advanced", end.advanced}, {"carrier", end.carrier}});
  }
  return json::object{{"high", mark.fingerprint.high()},
                      {"low", mark.fingerprint.low()},
                      {"answered_at_ms", mark.answered_at},
                      {"held_back_at_ms", mark.held_back_at},
                      {"rank", mark.rank},
                      {"trials", mark.trials},
                      {"tried_at_ms", mark.tried_at},
                      {"ends", std::move(ends)}};
}

crash_suspect parse_mark(const json::object& fields, suspect_kind kind) {
  const auto number = [](const json::object& of, const char* name) { return of.at(name).to_number<std::uint64_t>(); };
  // Earlier versions do not write these.
  const auto later_number = [&number](const json::object& of, const char* name) {
    return of.contains(name) ? number(of, name) : 0;
  };
  crash_suspect mark;
  mark.kind = kind;
  mark.fingerprint = {number(fields, "high"), number(fields, "low")};
  mark.rank = static_cast<std::uint32_t>(later_number(fields, "rank"));
  mark.trials = static_cast<std::uint32_t>(later_number(fields, "trials"));
  mark.tried_at = later_number(fields, "tried_at_ms");
  mark.answered_at = number(fields, "answered_at_ms");
  mark.held_back_at = number(fields, "held_back_at_ms");
  for (const json::value& value : fields.at("ends").as_array()) {
    const json::object& end = value.as_object();
    mark.ends.push_back({BackendId(std::string(end.at("backend").as_string())), number(end, "at_ms"),
                         end.at("advanced").as_bool(), later_number(end, "carrier")});
  }
  return mark;
}

bool is_held_back(const std::optional<crash_suspect>& mark) {
  return mark && mark->ends.size() >= end_history::kEndsToHoldBack;
}

}  // namespace

std::string format_marks(const std::vector<crash_suspect>& marks) {
  json::array requests;
  json::array parts;
  for (const crash_suspect& mark : marks) {
    (mark.kind == suspect_kind::request ? requests : parts).push_back(format_mark(mark));
  }
  return json::serialize(json::object{{kRequests, std::move(requests)}, {kPromptParts, std::move(parts)}});
}

Result<std::vector<crash_suspect>> parse_marks(const std::string& body) {
  std::vector<crash_suspect> marks;
  try {
    const json::value document = json::parse(body);
    for (const json::value& value : document.as_object().at(kRequests).as_array()) {
      marks.push_back(parse_mark(value.as_object(), suspect_kind::request));
    }
    if (const json::value* parts = document.as_object().if_contains(kPromptParts)) {
      for (const json::value& value : parts->as_array()) {
        marks.push_back(parse_mark(value.as_object(), suspect_kind::prompt_part));
      }
    }
  } catch (const std::exception& failure) {
    return Error{ErrorKind::corrupted, std::string("cannot parse the list of quarantined requests: ") + failure.what()};
  }
  return marks;
}

held_back_marks::held_back_marks(Environment& environment, Counters& counters, DecisionLog& log,
                                 object_store::PlatformClient& platform, list_handler handle_list, entry_lookup known)
    : environment_(environment),
      counters_(counters),
      log_(log),
      platform_(platform),
      handle_list_(std::move(handle_list)),
      look_up_entry_(std::move(known)) {}

void held_back_marks::read() { begin_update(); }

void held_back_marks::write(const request_fingerprint& request) {
  to_write_.insert(request);
  attempts_ = 0;
  begin_update();
}

void held_back_marks::begin_update() {
  if (busy_) {
    return;
  }
  busy_ = true;
  attempts_ = 0;
  read_list();
}

void held_back_marks::read_list() {
  ++attempts_;
  counters_["quarantine_marks_read_total"]++;
  platform_.get(
      {kMarksKind, kMarksName},
      lifetime_.guard([this](const Result<std::optional<object_store::StoredObject>>& result) { on_read(result); }));
}

void held_back_marks::on_read(const Result<std::optional<object_store::StoredObject>>& result) {
  if (!succeeded(result)) {
    retry(error_of(result).kind);
    return;
  }
  const std::optional<object_store::StoredObject>& object = value_of(result);
  const bool stands = object && !object->entry.deleted;
  Result<std::vector<crash_suspect>> marks = std::vector<crash_suspect>();
  if (stands) {
    marks = parse_marks(object->entry.body);
  }
  if (!succeeded(marks)) {
    counters_["quarantine_marks_unreadable_total"]++;
    log_.record("quarantine_marks_unreadable", {{"revision", object->entry.revision}});
    marks = std::vector<crash_suspect>();  // the next write replaces the unreadable list
  }
  const std::vector<crash_suspect>& stored = value_of(marks);
  listed_.clear();
  for (const crash_suspect& mark : stored) {
    listed_.insert(mark.fingerprint);
  }
  handle_list_(stored);
  writing_.merge(to_write_);
  to_write_.clear();
  if (is_up_to_date(stored)) {
    finish();
  } else {
    put(stands ? object->entry.revision : 0, updated_list(stored));
  }
}

bool held_back_marks::is_up_to_date(const std::vector<crash_suspect>& stored) const {
  return std::all_of(writing_.begin(), writing_.end(), [&](const request_fingerprint& request) {
    const bool listed = std::any_of(stored.begin(), stored.end(),
                                    [&request](const crash_suspect& mark) { return mark.fingerprint == request; });
    return listed == is_held_back(look_up_entry_(request));
  });
}

std::vector<crash_suspect> held_back_marks::updated_list(const std::vector<crash_suspect>& stored) const {
  std::set<request_fingerprint> listed = writing_;
  for (const crash_suspect& mark : stored) {
    listed.insert(mark.fingerprint);
  }
  std::vector<crash_suspect> marks;
  for (const request_fingerprint& request : listed) {
    // Stored entries that were too old to be merged have no entry on this node, so they are dropped from the list.
    if (const std::optional<crash_suspect> known = look_up_entry_(request); is_held_back(known)) {
      marks.push_back(*known);
    }
  }
  std::stable_sort(marks.begin(), marks.end(), [](const crash_suspect& one, const crash_suspect& other) {
    return one.last_event_at() > other.last_event_at();
  });
  marks.resize(std::min(marks.size(), kMaxMarks));
  return marks;
}

void held_back_marks::put(std::uint64_t revision, const std::vector<crash_suspect>& marks) {
  object_store::PutRequest request;
  request.key = {kMarksKind, kMarksName};
  request.body = format_marks(marks);
  request.expected_revision = revision;
  request.change_id = hex64(environment_.random()) + hex64(environment_.random());
  counters_["quarantine_marks_written_total"]++;
  platform_.put(request, lifetime_.guard([this, marks](const Result<std::uint64_t>& result) {
    if (!succeeded(result)) {
      retry(error_of(result).kind);  // the retry reads first, which shows whether the write took effect
      return;
    }
    log_.record("quarantine_marked",
                {{"requests", marks.size()}, {"revision", value_of(result)}, {"tries", attempts_}});
    for (const crash_suspect& mark : marks) {
      listed_.insert(mark.fingerprint);
    }
    finish();
  }));
}

void held_back_marks::retry(ErrorKind kind) {
  if (attempts_ >= kMaxAttempts) {
    counters_["quarantine_marks_given_up_total"]++;
    log_.record("quarantine_not_marked",
                {{"error", error_kind_name(kind)}, {"requests", to_write_.size() + writing_.size()}});
    to_write_.clear();
    writing_.clear();
    busy_ = false;
    return;
  }
  Duration delay = kFirstRetryDelay;
  for (unsigned doubled = 1; doubled < attempts_ && delay < kMaxRetryDelay; ++doubled) {
    delay *= 2;
  }
  environment_.after(std::min(delay, kMaxRetryDelay), lifetime_.guard([this] { read_list(); }));
}

/// Requests that were added while the store was answering are written next.
void held_back_marks::finish() {
  busy_ = false;
  writing_.clear();
  if (!to_write_.empty()) {
    begin_update();
  }
}

}  // namespace madderdeck::quarantine
