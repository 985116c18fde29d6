#include "net/http_backend_client.hpp"

#include <boost/json.hpp>

#include "net/sse_reader.hpp"

namespace madderdeck::net {
namespace {

namespace json = boost::json;
using routing::CallFailure;

constexpr unsigned kOk = 200;
constexpr std::chrono::milliseconds kEngineIdleTimeout{15'000};  ///< Longest wait for the next token.
constexpr std::chrono::milliseconds kReportTimeout{1000};
constexpr std::size_t kMaxReportBytes = 64 * 1024;
constexpr std::size_t kMaxRefusalBytes = 64 * 1024;

CallFailure failure_of(CallBreak reason) {
  switch (reason) {
    case CallBreak::connect_failed:
      return CallFailure::not_sent;
    case CallBreak::unsendable:
      return CallFailure::invalid;
    case CallBreak::limit_reached:
      return CallFailure::refused;  // the back end is not at fault
    case CallBreak::timed_out:
      return CallFailure::timed_out;
    case CallBreak::closed:
    case CallBreak::reset:
    case CallBreak::malformed:
    case CallBreak::too_long:
      break;
  }
  return CallFailure::broken;
}

/// Parses a back end's refusal. Only its field "ran" with the value "no" guarantees that the request did not run.
CallFailure failure_of(unsigned status, const std::string& body) {
  boost::system::error_code ignored;
  const json::value problem = json::parse(body, ignored);
  const json::object* fields = problem.if_object();
  const auto text = [&](const char* name) {
    const json::value* field = fields == nullptr ? nullptr : fields->if_contains(name);
    return field != nullptr && field->is_string() ? std::string(field->as_string()) : std::string();
  };
  if (text("ran") == "no") {
    constexpr unsigned kFirstServerError = 500;
    if (text("reason") == "leaving") {
      return CallFailure::leaving;
    }
    const bool our_fault = status < kFirstServerError && status != 404 && status != 429;
    return our_fault ? CallFailure::invalid : CallFailure::refused;
  }
  return CallFailure::broken;
}

/// @return bytes of a load report and its request on the wire, without TCP overhead.
CounterValue report_bytes(const SimpleResponse& response) {
  constexpr std::size_t kRequestBytes = 55;
  constexpr std::size_t kStatusLineBytes = 19;
  constexpr std::size_t kPerHeader = 4;
  std::size_t total = kRequestBytes + kStatusLineBytes + response.body.size();
  for (const Header& header : response.headers) {
    total += header.name.size() + header.value.size() + kPerHeader;
  }
  return static_cast<CounterValue>(total);
}

/// State of one engine call while its response is being received.
struct EngineStream {
  explicit EngineStream(routing::EngineEvents engine_events)
      : events(std::move(engine_events)), reader([this](std::string_view data) { on_event(data); }) {}

  void on_event(std::string_view data) {
    if (data == kSseDone) {
      done = true;
      return;
    }
    boost::system::error_code failure;
    const json::value event = json::parse(json::string_view(data.data(), data.size()), failure);
    const json::object* fields = failure ? nullptr : event.if_object();
    if (const json::value* sum = fields == nullptr ? nullptr : fields->if_contains("total");
        sum != nullptr && sum->is_int64()) {
      total = static_cast<std::uint32_t>(sum->as_int64());
      return;
    }
    const json::value* offset = fields == nullptr ? nullptr : fields->if_contains("offset");
    const json::value* text = fields == nullptr ? nullptr : fields->if_contains("text");
    if (offset == nullptr || text == nullptr || !offset->is_int64() || !text->is_string()) {
      malformed = true;
      return;
    }
    const auto& string = text->as_string();
    events.token(static_cast<std::uint32_t>(offset->as_int64()), std::string_view(string.data(), string.size()));
  }

  /// @return whether the response has more bytes than its next event, or a refusal, may have.
  bool is_endless() const { return reader.is_endless() || refusal.size() > kMaxRefusalBytes; }

  routing::EngineEvents events;
  HttpClient::CallNumber call = 0;
  SseReader reader;
  unsigned status = 0;
  std::string refusal;
  std::uint32_t total = 0;
  bool done = false;
  bool malformed = false;
};

}  // namespace

routing::CallId HttpBackendClient::start(const BackendId& engine, const routing::EngineCall& call,
                                         routing::EngineEvents events) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = json::serialize(json::object{
      {"request_id", std::to_string(call.attempt)},
      {"model", call.model},
      {"prompt", call.prompt},
      {"max_tokens", call.max_tokens},
      {"resume_from", call.resume_from},
      {"priority", call.priority == routing::Priority::batch ? "batch" : "online"},
      {"stream", true},
  });
  auto stream = std::make_shared<EngineStream>(std::move(events));
  ClientCallEvents call_events;
  call_events.header = [stream](const ResponseHead& head) { stream->status = head.status; };
  call_events.body = [this, stream](std::string_view piece) {
    if (stream->status == kOk) {
      stream->reader.feed(piece);
    } else {
      stream->refusal.append(piece);
    }
    if (stream->is_endless()) {
      client_.cancel(stream->call);
      stream->events.failed(CallFailure::broken);
    }
  };
  call_events.done = [stream] {
    if (stream->status != kOk) {
      stream->events.failed(failure_of(stream->status, stream->refusal));
    } else if (stream->done && !stream->malformed) {
      stream->events.finished(stream->total);
    } else {
      stream->events.failed(CallFailure::broken);
    }
  };
  call_events.failed = [stream](CallBreak reason) { stream->events.failed(failure_of(reason)); };
  ClientCallOptions options;
  options.idle_timeout = kEngineIdleTimeout;
  stream->call = client_.start(engine.str(), std::move(request), std::move(call_events), options);
  return stream->call;
}

routing::CallId HttpBackendClient::start(const BackendId& service, const routing::ServiceCall& call,
                                         routing::ServiceEvents events) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/call/" + call.service;
  request.headers = {{"Content-Type", "application/json"},
                     {"Idempotency-Key", call.idempotency_key},
                     {"X-Request-Id", std::to_string(call.attempt)}};
  request.body = call.body;
  ClientCallOptions options;
  options.idle_timeout = std::chrono::milliseconds(call.timeout_ms);
  options.total_timeout = std::chrono::milliseconds(call.timeout_ms);
  options.fresh_connection = true;
  return client_.fetch(
      service.str(), std::move(request),
      [events](std::variant<SimpleResponse, CallBreak> result) {
        if (const auto* reason = std::get_if<CallBreak>(&result)) {
          events.failed(failure_of(*reason));
          return;
        }
        auto& response = std::get<SimpleResponse>(result);
        constexpr unsigned kFirstError = 400;
        if (response.status >= kFirstError) {
          const CallFailure failure = failure_of(response.status, response.body);
          if (certainly_not_run(failure) || response.status >= 500) {
            events.failed(failure);
            return;
          }
        }
        events.answered({response.status, std::move(response.body)});
      },
      options);
}

void HttpBackendClient::fetch_load(const BackendId& backend, routing::ReportDone done) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/load";
  ClientCallOptions options;
  options.idle_timeout = kReportTimeout;
  options.total_timeout = kReportTimeout;
  options.max_body_bytes = kMaxReportBytes;
  options.may_end_with_connection = true;  // a truncated report does not parse as JSON
  client_.fetch(
      backend.str(), std::move(request),
      [this, done](std::variant<SimpleResponse, CallBreak> result) {
        const auto* response = std::get_if<SimpleResponse>(&result);
        counters_["backend_report_bytes_total"] += response == nullptr ? 0 : report_bytes(*response);
        boost::system::error_code failure;
        const json::value value = response == nullptr ? json::value() : json::parse(response->body, failure);
        const json::object* fields = value.if_object();
        if (fields == nullptr || failure) {
          done(std::nullopt);
          return;
        }
        const auto number = [fields](const char* name) {
          const json::value* field = fields->if_contains(name);
          return field != nullptr && field->is_int64() ? static_cast<std::uint32_t>(field->as_int64()) : 0U;
        };
        const json::value* leaving = fields->if_contains("leaving");
        done(routing::LoadReport{number("running_online"), number("running_batch"), number("waiting"),
                                 leaving != nullptr && leaving->is_bool() && leaving->as_bool()});
      },
      options);
}

}  // namespace madderdeck::net
