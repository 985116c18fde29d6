/// Engines send answers that break off beside a long request, whose status is none, or whose head cannot be read; the
/// tests check what reaches the caller's socket, and what becomes of a batch item.
#include <catch2/catch.hpp>

#include "names.hpp"
#include "net/http_types.hpp"
#include "support/answer_path.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform;
using madderdeck::tests::answer_kind;
using madderdeck::tests::answer_path;
using madderdeck::tests::caller_answer;
using madderdeck::tests::connection_ending;
using madderdeck::tests::is_stream;
using madderdeck::tests::kKinds;
using madderdeck::tests::may_retry_elsewhere;
using madderdeck::tests::name_of;
using madderdeck::tests::raw_answer;
using std::chrono::milliseconds;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kBadGateway = 502;
constexpr std::size_t kShortBytes = 10;
constexpr std::size_t kLongBytes = 3'800'000;       ///< More than the kernel's buffers of a connection hold.
constexpr std::size_t kOverlappingBytes = 300'000;  ///< Are still being written when the response is read.
constexpr std::size_t kUploads[] = {kShortBytes, 20'000, kOverlappingBytes, 1'000'000, kLongBytes};
const std::string kEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const std::string kFirstEvent = "id: 1\ndata: one\n\n";
const std::string kPlain = "{\"slots\":[1,2,3]}";
const std::string kPart(700, 'p');  ///< Of some 4,000 bytes.
const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Stands in a scripted answer for the lines of the head by which an answer belongs to its request.
const std::string kOwnLines = "@own@";

const std::string& whole_body(answer_kind kind) { return is_stream(kind) ? kEvents : kPlain; }

std::string own_lines(const std::string& request_head, const std::string& content_type) {
  return "Content-Type: " + content_type + "\r\n" + header::kRequestId + ": " +
         tests::value_after(request_head, header::kRequestId) + "\r\n" + header::kStamp + ": s\r\n";
}

/// @return the lines of a head that @p kind of route answers with.
std::string own_lines(const std::string& request_head, answer_kind kind) {
  return own_lines(request_head, is_stream(kind) ? "text/event-stream" : "application/json");
}

raw_answer whole_answer(const std::string& request_head, answer_kind kind) {
  const std::string& body = whole_body(kind);
  return {"HTTP/1.1 200 OK\r\n" + own_lines(request_head, kind) + "Content-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body,
          connection_ending::kept};
}

/// Gives its first request a scripted answer, and each other one a whole answer.
class first_answer {
 public:
  /// @param script kOwnLines in its bytes is replaced.
  first_answer(answer_kind kind, raw_answer script) : kind_(kind), script_(std::move(script)) {}

  raw_answer operator()(const std::string& request_head) {
    if (requests_++ > 0) {
      return whole_answer(request_head, kind_);
    }
    raw_answer answer = script_;
    if (const std::size_t at = answer.bytes.find(kOwnLines); at != std::string::npos) {
      answer.bytes.replace(at, kOwnLines.size(), own_lines(request_head, kind_));
    }
    return answer;
  }

 private:
  answer_kind kind_;
  raw_answer script_;
  std::size_t requests_ = 0;
};

std::string request_to(answer_kind kind, std::size_t body_bytes) {
  return std::string("POST /") + name_of(kind) + "/1 HTTP/1.1\r\nHost: h\r\nX-Madderdeck-Request-Id: r1\r\n" +
         "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b');
}

caller_answer call(answer_kind kind, const raw_answer& script, std::size_t body_bytes) {
  answer_path path(first_answer(kind, script));
  return path.call(request_to(kind, body_bytes));
}

/// A stream that another engine resumes keeps the head of its first engine.
/// @return what is wrong with @p got if the first engine's answer was broken; empty if nothing is.
std::string fault_of(answer_kind kind, const caller_answer& got) {
  if (!got.ended || got.malformed) {
    return got.ended ? "bytes that belong to no answer" : "the caller still waits";
  }
  const bool stamped = !net::find_header(got.headers, header::kStamp).empty();
  if (may_retry_elsewhere(kind)) {
    const bool succeeded = got.status >= kOk && got.status < kFirstRedirect;
    const bool whole = succeeded && got.looks_complete && stamped && got.body == whole_body(kind);
    return whole ? "" : "not the whole answer of another engine";
  }
  if (got.looks_complete) {
    return got.status == kBadGateway && !stamped ? "" : "neither broken off nor a failure of the node's own";
  }
  return is_stream(kind) && kEvents.starts_with(got.body) ? "" : "other bytes than whole events";
}

std::string described(answer_kind kind, const caller_answer& got) {
  return std::string(name_of(kind)) + " got status " + std::to_string(got.status) + ", " +
         std::to_string(got.body.size()) + " bytes, " + (got.looks_complete ? "complete: " : "broken off: ") +
         fault_of(kind, got);
}

/// @return whether the run of an item whose first answer is @p script failed.
bool item_fails(const raw_answer& script, std::size_t body_bytes) {
  answer_path path(first_answer(answer_kind::resumable_stream, script));
  const auto outcome = path.run_item(std::string(body_bytes, 'b'));
  return outcome->failure.has_value() && !outcome->finished_at;
}

/// How an answer meets its request.
struct answer_moment {
  const char* name;
  std::size_t body_bytes;  ///< Of the request.
  bool before_body;        ///< The body is left unread.
  std::string interim;     ///< Comes before the answer.
};
const answer_moment kMoments[] = {{"after a short request", kShortBytes, false, ""},
                                  {"beside a long request", kOverlappingBytes, true, ""},
                                  {"after a 100", kShortBytes, false, kContinue},
                                  {"after a 100 beside a long request", kOverlappingBytes, true, kContinue}};

/// Plays an answer of @p bytes, which no reader can take for one, with all kinds of routes and as a batch item.
void check_rejected(const std::string& bytes) {
  for (const answer_moment& moment : kMoments) {
    const raw_answer script{moment.interim + bytes, connection_ending::closed, moment.before_body};
    INFO(bytes << "\n" << moment.name);
    for (const answer_kind kind : kKinds) {
      const caller_answer got = call(kind, script, moment.body_bytes);
      INFO(described(kind, got));
      CHECK(fault_of(kind, got).empty());
    }
    CHECK(item_fails(script, moment.body_bytes));
  }
}

}  // namespace

TEST_CASE("a part of a success without a length that is reset beside a long request is not passed on as whole") {
  for (const std::string status : {"200 OK", "201 Created", "302 Found"}) {
    for (const answer_kind kind : kKinds) {
      for (const int ends_after_ms : {0, 20, 100}) {
        const std::string& part = is_stream(kind) ? kFirstEvent : kPart;
        const raw_answer script{"HTTP/1.1 " + status + "\r\n" + kOwnLines + "\r\n" + part, connection_ending::reset,
                                true, milliseconds(ends_after_ms)};
        const caller_answer got = call(kind, script, kLongBytes);
        INFO(status << ", reset after " << ends_after_ms << " ms: " << described(kind, got));
        CHECK(fault_of(kind, got).empty());
      }
    }
  }
}

TEST_CASE("a batch item's run fails if its answer without a length is reset beside its long request") {
  for (const std::string status : {"200 OK", "201 Created", "302 Found", "413 Large", "422 Odd", "500 Failed"}) {
    for (const int ends_after_ms : {0, 20, 300}) {
      INFO(status << ", reset after " << ends_after_ms << " ms");
      CHECK(item_fails({"HTTP/1.1 " + status + "\r\n" + kOwnLines + "\r\n" + kFirstEvent, connection_ending::reset,
                        true, milliseconds(ends_after_ms)},
                       kLongBytes));
    }
  }
}

// Guards against a failure that counts as whole since the write of the request met the reset, and not the read.
TEST_CASE("a part of a failure without a length that is reset beside its request is not passed on as whole") {
  for (const std::string status : {"413 Large", "500 Failed"}) {
    for (const answer_kind kind : kKinds) {
      for (const std::size_t body_bytes : kUploads) {
        for (const int ends_after_ms : {0, 20, 100}) {
          const std::string& part = kind == answer_kind::stream ? kFirstEvent : kPart;
          const raw_answer script{"HTTP/1.1 " + status + "\r\n" + kOwnLines + "\r\n" + part, connection_ending::reset,
                                  true, milliseconds(ends_after_ms)};
          const caller_answer got = call(kind, script, body_bytes);
          INFO(status << " beside " << body_bytes << " bytes, reset after " << ends_after_ms
                      << " ms: " << described(kind, got));
          CHECK(fault_of(kind, got).empty());
        }
      }
    }
  }
}

TEST_CASE("a part of a failure that is reset beside a long request is not whole, whatever its status") {
  for (const unsigned status : {400, 403, 404, 408, 409, 422, 429, 499, 501, 502, 503, 504, 599}) {
    const raw_answer script{"HTTP/1.1 " + std::to_string(status) + " Some\r\n" + kOwnLines + "\r\n" + kPart,
                            connection_ending::reset, true, milliseconds(20)};
    for (const answer_kind kind : {answer_kind::repeatable, answer_kind::unrepeatable}) {
      const caller_answer got = call(kind, script, kLongBytes);
      INFO(status << ": " << described(kind, got));
      CHECK(fault_of(kind, got).empty());
    }
  }
}

TEST_CASE("an early failure without a length that ends in order arrives whole beside a request of any size") {
  const std::string text(4'000, 't');
  for (const std::string status : {"413 Large", "429 Busy", "422 Odd", "404 Missing"}) {
    for (const connection_ending ending : {connection_ending::closed, connection_ending::closed_then_reset}) {
      for (const answer_kind kind : {answer_kind::repeatable, answer_kind::unrepeatable}) {
        for (const std::size_t body_bytes : kUploads) {
          for (const std::string length : {"", "Content-Length: 4000\r\n"}) {
            const raw_answer script{
                "HTTP/1.1 " + status + "\r\n" + kOwnLines + "Retry-After: 2\r\n" + length + "\r\n" + text, ending, true,
                milliseconds(20)};
            const caller_answer got = call(kind, script, body_bytes);
            INFO(status << " beside " << body_bytes << " bytes, " << length << "ended as " << static_cast<int>(ending)
                        << ": " << described(kind, got));
            CHECK(got.looks_complete);
            CHECK(std::to_string(got.status) == status.substr(0, 3));
            CHECK(got.body == text);
            CHECK(net::find_header(got.headers, header::kStamp) == "s");
            CHECK(net::find_header(got.headers, "Retry-After") == "2");
          }
        }
      }
    }
  }
}

TEST_CASE("an early failure of an engine without a length is whole if it ends in order and may not be repeated") {
  const raw_answer script{"HTTP/1.1 500 Failed\r\n" + kOwnLines + "\r\n" + kPart, connection_ending::closed, true,
                          milliseconds(20)};
  const caller_answer got = call(answer_kind::unrepeatable, script, kLongBytes);
  CHECK(got.looks_complete);
  CHECK(got.status == 500);
  CHECK(got.body == kPart);
}

TEST_CASE("an early refusal of an engine that has not run the request leads to another engine, however it ends") {
  for (const std::string status : {"503 Full", "429 Busy"}) {
    for (const connection_ending ending :
         {connection_ending::closed, connection_ending::closed_then_reset, connection_ending::reset}) {
      for (const answer_kind kind : kKinds) {
        for (const std::size_t body_bytes : kUploads) {
          const raw_answer script{
              "HTTP/1.1 " + status + "\r\n" + kOwnLines + header::kNotRun + ": full\r\n\r\n" + kPart, ending, true,
              milliseconds(20)};
          const caller_answer got = call(kind, script, body_bytes);
          INFO(status << " beside " << body_bytes << " bytes, ended as " << static_cast<int>(ending) << ": "
                      << described(kind, got));
          CHECK(got.status == kOk);
          CHECK(got.looks_complete);
          CHECK(got.body == whole_body(kind));
        }
      }
    }
  }
}

// Guards against a caller that gets 000 as its answer, or waits for one that has come.
TEST_CASE("an answer whose status is none reaches no caller and ends no batch item") {
  for (const std::string status :
       {"000", "001", "020", "099", "101", "199", "600", "999", "20", "2000", "-01", "2x0", "0x0", ""}) {
    check_rejected("HTTP/1.1 " + status + " Some\r\n" + kOwnLines + "Content-Length: 2\r\n\r\nok");
    check_rejected("HTTP/1.1 " + status + " Some\r\n" + kOwnLines + "\r\nok");
  }
}

namespace {

/// Lines that are no field of a head.
std::vector<std::string> odd_lines() {
  std::vector<std::string> lines = {": a\r\n", "no colon\r\n", "Content-Length : 100\r\n",
                                    "Transfer-Encoding : chunked\r\n", "Content Length: 0\r\n"};
  for (const char sign : std::string("\x00\x01\t\x0b\r\x1f \x7f\x80\xff([{\"", 14)) {
    lines.push_back(std::string("X") + sign + "Line: a\r\n");
    lines.push_back(std::string("X-Line") + sign + ": a\r\n");
  }
  return lines;
}

}  // namespace

// Guards against a line that is passed on, or that changes where the body ends.
TEST_CASE("an answer with a blank or a control byte in the name of a field reaches no caller and ends no batch item") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& line : odd_lines()) {
    check_rejected(ok + kOwnLines + line + "Content-Length: 2\r\n\r\nok");
    check_rejected(ok + "Content-Length: 2\r\n" + line + kOwnLines + "\r\nok");
    check_rejected(ok + kOwnLines + line + "\r\nok");
    check_rejected(ok + kOwnLines + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + kFirstEvent + "\r\n0\r\n" + line +
                   "\r\n");
  }
  check_rejected(ok + " X-Line: a\r\n" + kOwnLines + "Content-Length: 2\r\n\r\nok");
  check_rejected(ok + "\tX-Line: a\r\n" + kOwnLines + "Content-Length: 2\r\n\r\nok");
}
