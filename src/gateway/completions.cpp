/// @file Live model requests: /v1/chat/completions, /v1/completions and /v1/models.

#include <boost/json.hpp>

#include "common/hash.hpp"
#include "gateway/api.hpp"
#include "gateway/problem.hpp"

namespace madderdeck::gateway {
namespace {

namespace json = boost::json;
constexpr std::size_t kPauseBacklogBytes = 256 * 1024;

/// A validated completion request.
struct CompletionRequest {
  std::string template_name;
  std::string prompt;
  std::optional<std::uint32_t> max_tokens;
  bool stream = false;
};

Result<std::string> chat_prompt(const json::object& fields) {
  const json::value* messages = fields.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
    return Error{ErrorKind::invalid_argument, "messages: must be a list with at least one message"};
  }
  std::string prompt;
  for (const json::value& message : messages->as_array()) {
    const json::object* parts = message.if_object();
    const json::value* role = parts == nullptr ? nullptr : parts->if_contains("role");
    const json::value* content = parts == nullptr ? nullptr : parts->if_contains("content");
    if (role == nullptr || content == nullptr || !role->is_string() || !content->is_string()) {
      return Error{ErrorKind::invalid_argument, "messages: each must have a role and a content, both strings"};
    }
    prompt.append(role->as_string()).append(": ").append(content->as_string()).append("\n");
  }
  return prompt;
}

Result<CompletionRequest> parse_completion(const std::string& body, bool chat) {
  boost::system::error_code failure;
  const json::value value = json::parse(body, failure);
  const json::object* fields = value.if_object();
  if (failure || fields == nullptr) {
    return Error{ErrorKind::invalid_argument, "body: must be a JSON object"};
  }
  CompletionRequest request;
  const json::value* model = fields->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Error{ErrorKind::invalid_argument, "model: must be the name of a template"};
  }
  request.template_name = std::string(model->as_string());
  if (chat) {
    auto prompt = chat_prompt(*fields);
    if (!succeeded(prompt)) {
      return error_of(prompt);
    }
    request.prompt = std::move(value_of(prompt));
  } else {
    const json::value* prompt = fields->if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string()) {
      return Error{ErrorKind::invalid_argument, "prompt: must be a string"};
    }
    request.prompt = std::string(prompt->as_string());
  }
  if (const json::value* tokens = fields->if_contains("max_tokens")) {
    if (!tokens->is_int64() || tokens->as_int64() < 1 || tokens->as_int64() > UINT32_MAX) {
      return Error{ErrorKind::invalid_argument, "max_tokens: must be an integer of at least 1"};
    }
    request.max_tokens = static_cast<std::uint32_t>(tokens->as_int64());
  }
  if (const json::value* stream = fields->if_contains("stream")) {
    if (!stream->is_bool()) {
      return Error{ErrorKind::invalid_argument, "stream: must be true or false"};
    }
    request.stream = stream->as_bool();
  }
  return request;
}

/// The answer to one completion request, sent to the caller as a stream or at once.
class CompletionAnswer : public std::enable_shared_from_this<CompletionAnswer> {
 public:
  CompletionAnswer(ApiContext& context, ExchangePointer exchange, const CompletionRequest& request, bool chat)
      : context_(context),
        exchange_(std::move(exchange)),
        model_(request.template_name),
        stream_(request.stream),
        chat_(chat) {
    id_ = (chat ? "chatcmpl-" : "cmpl-") + hex64(context.core.environment.random());
    // The parts of each event before and after the text are the same for all events.
    const json::string escaped_model(model_);
    const std::string head = "data: {\"id\":\"" + id_ + "\",\"object\":\"" +
                             (chat ? "chat.completion.chunk" : "text_completion") +
                             "\",\"model\":" + json::serialize(escaped_model) + ",\"choices\":[{\"index\":0,";
    before_text_ = head + (chat ? "\"delta\":{\"content\":" : "\"text\":");
    after_text_ = chat ? "}}]}\n\n" : "}]}\n\n";
    final_event_ =
        head + (chat ? "\"delta\":{}" : "\"text\":\"\"") + ",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
  }

  void begin(routing::LiveRequest request) {
    const auto self = shared_from_this();
    routing::LiveEvents events;
    events.token = [self](std::string_view text) { self->on_token(text); };
    events.finished = [self](std::uint32_t tokens) { self->on_finished(tokens); };
    events.refused = [self](const routing::Refusal& refusal) { self->on_refused(refusal); };
    live_ = context_.core.live.start(std::move(request), std::move(events));
    if (ended_) {
      return;
    }
    exchange_->on_caller_gone([self] {
      if (!self->ended_) {
        self->ended_ = true;
        self->context_.core.live.cancel(self->live_);
      }
    });
    exchange_->on_backlog_gone([self] {
      if (self->paused_ && !self->ended_) {
        self->paused_ = false;
        self->context_.core.live.resume(self->live_);
      }
    });
  }

 private:
  void on_token(std::string_view text) {
    if (!stream_) {
      text_.append(text);
      return;
    }
    if (!started_) {
      started_ = true;
      exchange_->start_stream(200, "text/event-stream", {{"Cache-Control", "no-store"}});
    }
    event_.assign(before_text_);
    event_.append(json::serialize(json::string_view(text.data(), text.size())));
    event_.append(after_text_);
    exchange_->write(event_);
    if (exchange_->backlog() > kPauseBacklogBytes && !paused_) {
      paused_ = true;
      context_.core.counters["live_streams_paused_total"]++;
      context_.core.live.pause(live_);
    }
  }

  void on_finished(std::uint32_t tokens) {
    ended_ = true;
    if (stream_) {
      if (!started_) {
        exchange_->start_stream(200, "text/event-stream", {});
      }
      exchange_->write(final_event_);
      exchange_->finish();
      return;
    }
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (chat_) {
      choice["message"] = json::object{{"role", "assistant"}, {"content", text_}};
    } else {
      choice["text"] = text_;
    }
    const json::object answer{{"id", id_},
                              {"object", chat_ ? "chat.completion" : "text_completion"},
                              {"model", model_},
                              {"choices", json::array{std::move(choice)}},
                              {"usage", json::object{{"completion_tokens", tokens}}}};
    exchange_->respond({200, "application/json", {}, json::serialize(answer)});
  }

  void on_refused(const routing::Refusal& refusal) {
    ended_ = true;
    if (!started_) {
      exchange_->respond(problem(refusal));
      return;
    }
    // The stream has begun: send the error as an event and abort the connection, so that the caller does not take the
    // incomplete answer for a complete one.
    exchange_->write("event: error\ndata: " + problem_body(refusal) + "\n\n");
    exchange_->abort();
  }

  ApiContext& context_;
  const ExchangePointer exchange_;
  const std::string model_;
  const bool stream_;
  const bool chat_;
  std::string id_;
  std::string before_text_;
  std::string after_text_;
  std::string final_event_;
  std::string event_;
  std::string text_;
  routing::LiveId live_ = 0;
  bool started_ = false;
  bool ended_ = false;
  bool paused_ = false;
};

}  // namespace

void handle_completion(ApiContext& context, const ExchangePointer& exchange,
                       const std::shared_ptr<const config::Tenant>& tenant, bool chat) {
  const auto parsed = parse_completion(exchange->request().body, chat);
  if (!succeeded(parsed)) {
    exchange->respond(problem(error_of(parsed)));
    return;
  }
  const CompletionRequest& request = value_of(parsed);
  const auto kind = context.core.catalog.find_template(request.template_name);
  if (!kind || kind->target != config::Target::model) {
    exchange->respond(problem(Error{ErrorKind::not_found, "no model template named " + request.template_name}));
    return;
  }
  routing::LiveRequest live;
  live.model = kind->pool;
  live.prompt = config::fill_parameters(kind->system_prompt, *tenant) + request.prompt;
  live.max_tokens = std::min(request.max_tokens.value_or(kind->max_tokens), kind->max_tokens);
  live.timeout = std::chrono::milliseconds(kind->timeout_ms);
  std::make_shared<CompletionAnswer>(context, exchange, request, chat)->begin(std::move(live));
}

void handle_models(ApiContext& context, const ExchangePointer& exchange) {
  json::array data;
  for (const auto& kind : context.core.catalog.templates()) {
    if (kind->target == config::Target::model) {
      data.push_back(json::object{{"id", kind->name}, {"object", "model"}, {"owned_by", "madderdeck"}});
    }
  }
  exchange->respond(
      {200, "application/json", {}, json::serialize(json::object{{"object", "list"}, {"data", std::move(data)}})});
}

void handle_service(ApiContext& context, const ExchangePointer& exchange,
                    const std::shared_ptr<const config::Tenant>& tenant, const std::string& template_name) {
  const auto kind = context.core.catalog.find_template(template_name);
  if (!kind || kind->target != config::Target::service) {
    exchange->respond(problem(Error{ErrorKind::not_found, "no service template named " + template_name}));
    return;
  }
  const std::string key(net::find_header(exchange->request().headers, "Idempotency-Key"));
  constexpr std::size_t kMaxKeyBytes = 256;
  if (!kind->repeatable && (key.empty() || key.size() > kMaxKeyBytes)) {
    exchange->respond(
        problem(Error{ErrorKind::invalid_argument, "Idempotency-Key: 1 to 256 characters are needed, since " +
                                                       template_name + " may not be repeated"}));
    return;
  }
  routing::ServiceRequest request;
  request.service = kind->pool;
  request.key = {tenant->name, key};
  request.repeatable = kind->repeatable;
  request.body = exchange->request().body;
  request.timeout = std::chrono::milliseconds(kind->timeout_ms);
  context.core.services.call(std::move(request), [exchange](const routing::ServiceOutcome& outcome) {
    if (const auto* answer = std::get_if<routing::ServiceAnswer>(&outcome)) {
      exchange->respond({answer->http_status, "application/json", {}, answer->body});
    } else {
      exchange->respond(problem(std::get<routing::Refusal>(outcome)));
    }
  });
}

}  // namespace madderdeck::gateway
