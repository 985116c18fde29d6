/// Engines send answers in every framing, truncated at each byte and ended in every way; the tests check what reaches
/// the caller's socket.
#include <catch2/catch.hpp>

#include "names.hpp"
#include "support/answer_bytes.hpp"
#include "support/answer_path.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform;
using madderdeck::net::body_framing;
using madderdeck::tests::answer_kind;
using madderdeck::tests::answer_path;
using madderdeck::tests::caller_answer;
using madderdeck::tests::connection_ending;
using madderdeck::tests::framed_answer;
using madderdeck::tests::is_stream;
using madderdeck::tests::kKinds;
using madderdeck::tests::may_retry_elsewhere;
using madderdeck::tests::name_of;
using madderdeck::tests::value_after;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kFirstServerError = 500;

constexpr body_framing kFramings[] = {body_framing::length, body_framing::chunks, body_framing::until_close};

const std::vector<std::string> kEvents = {"id: 1\ndata: one\n\n", "id: 2\r\ndata: two\r\ndata: lines\r\n\r\n",
                                          "id: 3\ndata: three\n\n"};
const std::vector<std::string> kPlain = {"{\"slots\":[1,2,", "3],\"more\":false}"};

std::string joined(const std::vector<std::string>& pieces, std::size_t from = 0) {
  std::string text;
  for (std::size_t piece = from; piece < pieces.size(); ++piece) {
    text += pieces[piece];
  }
  return text;
}

/// @return the complete events within the first @p bytes of the stream.
std::string whole_events(std::size_t bytes) {
  std::string text;
  for (const std::string& event : kEvents) {
    if (text.size() + event.size() > bytes) {
      break;
    }
    text += event;
  }
  return text;
}

/// Answers one request as the table cell specifies, and all others completely.
struct scripted_pool {
  answer_kind kind = answer_kind::stream;
  body_framing framing = body_framing::length;
  connection_ending ending = connection_ending::closed;
  std::size_t cut = 0;
  std::string interim;           ///< Sent before the truncated answer.
  std::size_t whole_before = 0;  ///< Requests that are answered completely before the truncated answer.
  std::size_t requests = 0;
  bool before_body = false;                 ///< The truncated answer leaves the body of its request unread.
  std::chrono::milliseconds ends_after{0};  ///< With before_body: from the answer to the end of its connection.

  framed_answer whole(const std::string& head, body_framing in) const {
    const std::string last = value_after(head, header::kLastEvent);
    const std::size_t from = last.empty() ? 0 : std::stoul(last);
    std::vector<std::string> pieces = is_stream(kind) ? kEvents : kPlain;
    pieces.erase(pieces.begin(), pieces.begin() + static_cast<std::ptrdiff_t>(from));
    const std::string type = is_stream(kind) ? "text/event-stream" : "application/json";
    return {in, pieces,
            "Content-Type: " + type + "\r\n" + header::kRequestId + ": " + value_after(head, header::kRequestId) +
                "\r\n" + header::kStamp + ": s\r\n"};
  }
  tests::raw_answer answer(const std::string& head) {
    if (requests++ != whole_before) {
      return {whole(head, body_framing::chunks).bytes(), connection_ending::kept};
    }
    return {interim + whole(head, framing).bytes().substr(0, cut), ending, before_body, ends_after};
  }
};

/// The path of the answers of a scripted pool.
struct whole_path : answer_path {
  explicit whole_path(scripted_pool& pool)
      : answer_path([&pool](const std::string& head) { return pool.answer(head); }), script(pool) {}

  std::string request(const std::string& protocol = "HTTP/1.1", const std::string& headers = "") const {
    return std::string("POST /") + name_of(script.kind) + "/1 " + protocol +
           "\r\nHost: h\r\nX-Madderdeck-Request-Id: r1\r\n" + headers + "Content-Length: 4\r\n\r\nbody";
  }

  scripted_pool& script;
};

/// The answer that the protocol pages require in one cell of the table.
struct expected_answer {
  bool complete = false;
  std::string body;        ///< Of a complete answer, and of a truncated one that ended by an orderly close.
  bool body_known = true;  ///< If false, any prefix of it is right, since a reset may overtake bytes.
};

/// @return whether the engine's bytes up to the cut look like a complete answer to any reader.
bool is_whole(const scripted_pool& cell, const framed_answer& answer) {
  if (cell.framing != body_framing::until_close) {
    return cell.cut == answer.bytes().size();
  }
  const std::size_t body = answer.body_bytes(cell.cut);
  const bool ends_well = cell.ending == connection_ending::closed && cell.cut >= answer.head_bytes() && body > 0;
  return ends_well && (!is_stream(cell.kind) || whole_events(body).size() == body);
}

expected_answer expected(const scripted_pool& cell, const framed_answer& answer) {
  const std::size_t body = answer.body_bytes(cell.cut);
  const std::string all = joined(is_stream(cell.kind) ? kEvents : kPlain);
  if (is_whole(cell, answer)) {
    return {true, all.substr(0, body)};
  }
  // An unresponsive engine uses up the request's time, so there is no retry.
  if (may_retry_elsewhere(cell.kind) && cell.ending != connection_ending::silent) {
    return {true, all};
  }
  return {false, is_stream(cell.kind) ? whole_events(body) : "", cell.ending != connection_ending::reset};
}

/// @return the difference between @p got and @p wanted; empty if there is none.
std::string fault_of(const caller_answer& got, const expected_answer& wanted) {
  if (!got.ended) {
    return "the caller still waits";
  }
  if (got.malformed) {
    return "bytes that belong to no answer";
  }
  if (wanted.complete) {
    const bool whole = got.status == kOk && got.looks_complete;
    return whole && got.body == wanted.body ? "" : "not the whole answer";
  }
  if (got.status >= kFirstServerError && got.looks_complete) {
    return wanted.body.empty() || !wanted.body_known ? "" : "a failure instead of whole events";
  }
  if (got.looks_complete) {
    return "looks complete";
  }
  if (wanted.body_known ? got.body != wanted.body : !wanted.body.starts_with(got.body)) {
    return "other bytes than the whole events";
  }
  return got.body.empty() ? "begun without an event" : "";
}

/// Runs the cells of @p kind and @p framing that end by @p ending, truncated at every @p step-th byte.
/// @return a line for each cell with a wrong result.
std::vector<std::string> play_cells(answer_kind kind, body_framing framing, connection_ending ending,
                                    std::size_t step = 1) {
  scripted_pool pool;
  pool.kind = kind;
  pool.framing = framing;
  pool.ending = ending;
  const framed_answer answer = pool.whole("\r\nX-Madderdeck-Request-Id: r1\r\n", framing);
  std::vector<std::string> faults;
  for (pool.cut = 0; pool.cut <= answer.bytes().size(); pool.cut += step) {
    pool.requests = 0;
    whole_path path(pool);
    const caller_answer got = path.call(path.request());
    const std::string fault = fault_of(got, expected(pool, answer));
    if (!fault.empty()) {
      faults.push_back(std::string(name_of(kind)) + " " + std::string(net::body_framing_name(framing)) + " cut at " +
                       std::to_string(pool.cut) + " of " + std::to_string(answer.bytes().size()) + ": " + fault +
                       ", status " + std::to_string(got.status) + ", body of " + std::to_string(got.body.size()));
    }
  }
  return faults;
}

/// Runs all kinds of routes in all framings with answers that are truncated within their head or right after it.
/// @param script the interim bytes and the number of complete answers before.
std::vector<std::string> play_heads(const scripted_pool& script, connection_ending ending) {
  constexpr std::size_t kStep = 4;
  std::vector<std::string> faults;
  for (const answer_kind kind : kKinds) {
    for (const body_framing framing : kFramings) {
      scripted_pool pool = script;
      pool.kind = kind;
      pool.framing = framing;
      pool.ending = ending;
      const framed_answer answer = pool.whole("\r\nX-Madderdeck-Request-Id: r1\r\n", framing);
      for (std::size_t before_end = 0; before_end <= answer.head_bytes(); before_end += kStep) {
        pool.cut = answer.head_bytes() - before_end;
        pool.requests = 0;
        whole_path path(pool);
        for (std::size_t earlier = 0; earlier < pool.whole_before; ++earlier) {
          path.call(path.request());
        }
        const std::string fault = fault_of(path.call(path.request()), expected(pool, answer));
        if (!fault.empty()) {
          faults.push_back(std::string(name_of(kind)) + " " + std::string(net::body_framing_name(framing)) +
                           " cut at " + std::to_string(pool.cut) + " of the head's " +
                           std::to_string(answer.head_bytes()) + ": " + fault);
        }
      }
    }
  }
  return faults;
}

std::string first_lines(const std::vector<std::string>& lines) {
  constexpr std::size_t kShown = 6;
  std::string text = std::to_string(lines.size()) + " cells";
  for (std::size_t line = 0; line < std::min(kShown, lines.size()); ++line) {
    text += "\n" + lines[line];
  }
  return text;
}

/// Runs all kinds of routes in all framings.
std::vector<std::string> play_all(connection_ending ending, std::size_t step = 1) {
  std::vector<std::string> faults;
  for (const answer_kind kind : kKinds) {
    for (const body_framing framing : kFramings) {
      const auto more = play_cells(kind, framing, ending, step);
      faults.insert(faults.end(), more.begin(), more.end());
    }
  }
  return faults;
}

}  // namespace

// An engine terminated while it sent an answer without a length, and the caller's stream ended with half an event.
TEST_CASE("a stream that ends inside an event with its connection is not framed as complete") {
  const auto faults = play_cells(answer_kind::stream, body_framing::until_close, connection_ending::closed);
  INFO(first_lines(faults));
  CHECK(faults.empty());
}

TEST_CASE("answers truncated at each byte by an orderly close") {
  const auto faults = play_all(connection_ending::closed);
  INFO(first_lines(faults));
  CHECK(faults.empty());
}

TEST_CASE("answers truncated at each byte by a reset") {
  const auto faults = play_all(connection_ending::reset);
  INFO(first_lines(faults));
  CHECK(faults.empty());
}

TEST_CASE("an answer whose head stops midway is never framed as complete") {
  const auto ending =
      GENERATE(connection_ending::closed, connection_ending::reset, connection_ending::gone, connection_ending::full);
  scripted_pool script;
  SECTION("after an interim head") { script.interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"; }
  SECTION("on connections that were used before") { script.whole_before = 4; }
  const auto faults = play_heads(script, ending);
  INFO(first_lines(faults));
  CHECK(faults.empty());
}

TEST_CASE("answers whose engine becomes unresponsive") {
  constexpr std::size_t kStep = 61;
  const auto faults = play_all(connection_ending::silent, kStep);
  INFO(first_lines(faults));
  CHECK(faults.empty());
}

namespace {

/// A stream that must not be resumed, truncated inside its second event.
scripted_pool cut_stream() {
  scripted_pool pool;
  pool.framing = body_framing::until_close;
  const framed_answer answer = pool.whole("\r\nX-Madderdeck-Request-Id: r1\r\n", pool.framing);
  pool.cut = answer.head_bytes() + kEvents[0].size() + kEvents[1].size() / 2;
  return pool;
}

scripted_pool whole_stream() {
  scripted_pool pool = cut_stream();
  pool.cut = std::string::npos;
  return pool;
}

}  // namespace

TEST_CASE("a caller that speaks HTTP 1.0 gets a stream without chunks up to the end of its connection") {
  scripted_pool pool = whole_stream();
  whole_path path(pool);
  const caller_answer got = path.call(path.request("HTTP/1.0"));
  CHECK(got.status == kOk);
  CHECK(got.framing == body_framing::until_close);
  CHECK(got.looks_complete);
  CHECK(got.body == joined(kEvents));
}

TEST_CASE("a caller that speaks HTTP 1.0 sees a reset if a stream is truncated") {
  scripted_pool pool = cut_stream();
  whole_path path(pool);
  const caller_answer got = path.call(path.request("HTTP/1.0"));
  CHECK(got.ended);
  CHECK(got.status == kOk);
  CHECK_FALSE(got.looks_complete);
}

TEST_CASE("a caller that asks to close its connection can detect a truncated stream") {
  scripted_pool pool = cut_stream();
  whole_path path(pool);
  const caller_answer got = path.call(path.request("HTTP/1.1", "Connection: close\r\n"));
  CHECK(got.ended);
  CHECK(got.body == kEvents[0]);
  CHECK_FALSE(got.looks_complete);
}

TEST_CASE("a caller that keeps its connection receives no part of a next answer after a truncated one") {
  scripted_pool pool = cut_stream();
  whole_path path(pool);
  const caller_answer got = path.call(path.request() + path.request());
  CHECK(got.ended);
  CHECK(got.body == kEvents[0]);
  CHECK_FALSE(got.looks_complete);
  CHECK_FALSE(got.malformed);
  CHECK(pool.requests == 1);
}

namespace {

/// @return a line for each cut at which the run of an item has a wrong outcome.
std::vector<std::string> play_item_cells(body_framing framing, connection_ending ending) {
  scripted_pool pool;
  pool.framing = framing;
  pool.ending = ending;
  const framed_answer answer = pool.whole("\r\nX-Madderdeck-Request-Id: i1\r\n", framing);
  std::vector<std::string> faults;
  for (pool.cut = 0; pool.cut <= answer.bytes().size(); ++pool.cut) {
    pool.requests = 0;
    whole_path path(pool);
    const auto outcome = path.run_item();
    const bool whole = is_whole(pool, answer);
    const bool as_wanted = whole ? outcome->finished_at == outcome->events.size() : outcome->failure.has_value();
    if (!as_wanted) {
      faults.push_back(std::string(net::body_framing_name(framing)) + " cut at " + std::to_string(pool.cut) +
                       (whole ? ": not finished" : ": finished"));
    }
  }
  return faults;
}

}  // namespace

TEST_CASE("runs of batch items truncated at each byte") {
  std::vector<std::string> faults;
  for (const connection_ending ending : {connection_ending::closed, connection_ending::reset}) {
    for (const body_framing framing : kFramings) {
      const auto more = play_item_cells(framing, ending);
      faults.insert(faults.end(), more.begin(), more.end());
    }
  }
  INFO(first_lines(faults));
  CHECK(faults.empty());
}

namespace {

/// An answer without a length that ends between two of its pieces because its engine's process terminates.
scripted_pool ended_with_process(answer_kind kind) {
  scripted_pool pool;
  pool.kind = kind;
  pool.framing = body_framing::until_close;
  pool.ending = connection_ending::gone;
  const framed_answer answer = pool.whole("\r\nX-Madderdeck-Request-Id: r1\r\n", pool.framing);
  pool.cut = answer.head_bytes() + (is_stream(kind) ? kEvents[0].size() : kPlain[0].size());
  return pool;
}

}  // namespace

// Each event was complete, and the connection of the terminated engine was closed in order, so the stream looked
// complete.
TEST_CASE("a stream without a length that ends as its engine terminates is not framed as complete") {
  scripted_pool pool = ended_with_process(answer_kind::stream);
  whole_path path(pool);
  const caller_answer got = path.call(path.request());
  CHECK(got.ended);
  CHECK(got.body == kEvents[0]);
  CHECK_FALSE(got.looks_complete);
}

TEST_CASE("an answer without a length that ends as its engine terminates is retried on another engine where allowed") {
  for (const answer_kind kind : {answer_kind::resumable_stream, answer_kind::repeatable}) {
    scripted_pool pool = ended_with_process(kind);
    whole_path path(pool);
    const caller_answer got = path.call(path.request());
    CHECK(got.status == kOk);
    CHECK(got.looks_complete);
    CHECK(got.body == joined(is_stream(kind) ? kEvents : kPlain));
  }
}

TEST_CASE("a plain answer without a length that ends as its engine terminates is an error if it must not run again") {
  scripted_pool pool = ended_with_process(answer_kind::unrepeatable);
  whole_path path(pool);
  CHECK(path.call(path.request()).status >= kFirstServerError);
}

TEST_CASE("a batch item's run fails if its answer has no length and ends as the engine terminates") {
  scripted_pool pool = ended_with_process(answer_kind::stream);
  whole_path path(pool);
  const auto outcome = path.run_item();
  CHECK(outcome->events.size() == 1);
  CHECK(outcome->failure == routing::CallFailure::broken);
}

// The address of a killed engine accepted connections for some more milliseconds.
TEST_CASE("a stream without a length is not framed as complete while its engine is still terminating") {
  scripted_pool pool = ended_with_process(answer_kind::stream);
  pool.ending = connection_ending::ending;
  whole_path path(pool);
  const caller_answer got = path.call(path.request());
  CHECK(got.ended);
  CHECK(got.body == kEvents[0]);
  CHECK_FALSE(got.looks_complete);
}

TEST_CASE("an answer without a length is complete if its engine is running and resets new connections") {
  scripted_pool pool = whole_stream();
  pool.ending = connection_ending::full;
  whole_path path(pool);
  const caller_answer got = path.call(path.request());
  CHECK(got.looks_complete);
  CHECK(got.body == joined(kEvents));
}

TEST_CASE("the last answer of a draining engine is complete although it refuses connections afterwards") {
  scripted_pool pool = whole_stream();
  pool.ending = connection_ending::gone;
  whole_path path(pool);
  const auto answer = tests::call_raw(path.context, answer_path::kEntry, path.request());
  while (pool.requests == 0) {
    path.context.run_one_for(std::chrono::milliseconds(100));
  }
  path.let_engines_leave();
  while (!answer->ended) {
    path.context.run_one_for(std::chrono::milliseconds(100));
  }
  CHECK(answer->looks_complete);
  CHECK(answer->body == joined(kEvents));
}

/// How a caller sends a long body.
enum class upload_form { with_length, in_chunks, expecting_continue };
constexpr upload_form kUploadForms[] = {upload_form::with_length, upload_form::in_chunks,
                                        upload_form::expecting_continue};

std::string upload(answer_kind kind, upload_form form, std::size_t bytes) {
  const std::string head =
      std::string("POST /") + name_of(kind) + "/1 HTTP/1.1\r\nHost: h\r\nX-Madderdeck-Request-Id: r1\r\n";
  if (form != upload_form::in_chunks) {
    const std::string expects = form == upload_form::expecting_continue ? "Expect: 100-continue\r\n" : "";
    return head + expects + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'b');
  }
  constexpr std::size_t kChunkBytes = 0x8000;
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < bytes; sent += kChunkBytes) {
    text += "8000\r\n" + std::string(kChunkBytes, 'b') + "\r\n";
  }
  return text + "0\r\n\r\n";
}

// Guards against a part of an early answer that counts as whole in other forms of an upload than the one first seen, or
// on a connection to the engine that served before.
TEST_CASE("a part of an early answer is not complete however a long request is framed, on used connections too") {
  constexpr std::size_t kBodyBytes = 3'801'088;  // whole chunks
  for (const answer_kind kind : kKinds) {
    for (const upload_form form : kUploadForms) {
      for (const connection_ending ending : {connection_ending::reset, connection_ending::closed}) {
        for (const std::size_t whole_before : {0UL, 2UL}) {
          scripted_pool pool;
          pool.kind = kind;
          pool.framing = body_framing::until_close;
          pool.ending = ending;
          pool.before_body = true;
          pool.whole_before = whole_before;
          pool.ends_after = std::chrono::milliseconds(20);
          const framed_answer answer = pool.whole("\r\nX-Madderdeck-Request-Id: r1\r\n", pool.framing);
          pool.cut = answer.head_bytes() + (is_stream(kind) ? kEvents.front() : kPlain.front()).size();
          whole_path path(pool);
          for (std::size_t earlier = 0; earlier < whole_before; ++earlier) {
            REQUIRE(path.call(path.request()).looks_complete);
          }
          const caller_answer got = path.call(upload(kind, form, kBodyBytes));
          INFO(name_of(kind) << ", form " << static_cast<int>(form) << ", ended as " << static_cast<int>(ending) << ", "
                             << whole_before << " requests before, status " << got.status);
          REQUIRE(got.ended);
          const std::string all = joined(is_stream(kind) ? kEvents : kPlain);
          CHECK_FALSE((got.status == kOk && got.looks_complete && got.body != all));
          CHECK(got.status != 503);
          CHECK(got.status != 429);
          if (may_retry_elsewhere(kind)) {
            CHECK(got.status == kOk);
            CHECK(got.body == all);
          }
        }
      }
    }
  }
}

// Guards against a part of an answer that is passed on as a whole one, since the write of a long request met the reset.
TEST_CASE("an answer without a length that breaks off while its request is still being sent is not complete") {
  constexpr std::size_t kBodyBytes = 3'800'000;
  for (const answer_kind kind : kKinds) {
    for (const connection_ending ending : {connection_ending::reset, connection_ending::closed}) {
      for (const int ends_after_ms : {0, 20, 100}) {
        scripted_pool pool;
        pool.kind = kind;
        pool.framing = body_framing::until_close;
        pool.ending = ending;
        pool.before_body = true;
        pool.ends_after = std::chrono::milliseconds(ends_after_ms);
        const framed_answer answer = pool.whole("\r\nX-Madderdeck-Request-Id: r1\r\n", pool.framing);
        const std::string first = is_stream(kind) ? kEvents.front() : kPlain.front();
        pool.cut = answer.head_bytes() + first.size();
        whole_path path(pool);
        const std::string body(kBodyBytes, 'b');
        const caller_answer got = path.call(std::string("POST /") + name_of(kind) +
                                            "/1 HTTP/1.1\r\nHost: h\r\nX-Madderdeck-Request-Id: r1\r\n" +
                                            "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" + body);
        INFO(name_of(kind) << ", ended as " << static_cast<int>(ending) << " after " << ends_after_ms << " ms");
        REQUIRE(got.ended);
        const std::string all = joined(is_stream(kind) ? kEvents : kPlain);
        const bool partly_passed_on = got.status == kOk && got.looks_complete && got.body != all;
        CHECK_FALSE(partly_passed_on);
        CHECK(got.status != 503);
        CHECK(got.status != 429);
        if (may_retry_elsewhere(kind)) {
          CHECK(got.status == kOk);
          CHECK(got.body == all);
        }
      }
    }
  }
}
