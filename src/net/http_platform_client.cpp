#include "net/http_platform_client.hpp"

#include <boost/json.hpp>

namespace madderdeck::net {
namespace {

namespace json = boost::json;
constexpr std::chrono::milliseconds kAnswerTimeout{2000};  ///< Between two reads of bytes.
constexpr std::chrono::milliseconds kWholeAnswerTimeout{10'000};

config::Entry parse_entry(const json::object& fields) {
  config::Entry entry;
  entry.key = {std::string(fields.at("kind").as_string()), std::string(fields.at("name").as_string())};
  entry.body = std::string(fields.at("body").as_string());
  entry.revision = fields.at("revision").to_number<std::uint64_t>();
  entry.deleted = fields.at("deleted").as_bool();
  return entry;
}

Error malformed_answer(const std::string& what) { return Error{ErrorKind::corrupted, "platform answer: " + what}; }

/// @return options of a call whose answer is a JSON document: a truncated one does not parse, so no framing is needed.
ClientCallOptions document_options() {
  ClientCallOptions options;
  options.may_end_with_connection = true;
  options.total_timeout = kWholeAnswerTimeout;
  return options;
}

/// Parses the body of a 200 answer with @p parse, which may throw on missing fields.
template <class Value, class Parse>
Result<Value> parse_answer(const std::string& body, Parse parse) {
  try {
    return parse(json::parse(body).as_object());
  } catch (const std::exception& failure) {
    return malformed_answer(failure.what());
  }
}

}  // namespace

void HttpPlatformClient::watch_objects(std::uint64_t since, Duration wait, object_store::ChangesDone done) {
  watch("/objects", since, wait, std::move(done));
}

void HttpPlatformClient::watch_machines(std::uint64_t since, Duration wait, object_store::ChangesDone done) {
  watch("/machines", since, wait, std::move(done));
}

void HttpPlatformClient::watch(const std::string& path, std::uint64_t since, Duration wait,
                               object_store::ChangesDone done) {
  HttpRequest request;
  request.method = "GET";
  request.target = path + "?since=" + std::to_string(since) + "&wait_ms=" + std::to_string(wait / 1ms);
  ClientCallOptions options = document_options();
  options.idle_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(wait) + kAnswerTimeout;
  options.total_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(wait) + kWholeAnswerTimeout;
  client_.fetch(
      endpoint_, std::move(request),
      [done](std::variant<SimpleResponse, CallBreak> result) {
        const auto* response = std::get_if<SimpleResponse>(&result);
        if (response == nullptr || response->status != 200) {
          done(Error{ErrorKind::unavailable, "the platform does not answer the watch"});
          return;
        }
        done(parse_answer<object_store::ChangeList>(response->body, [](const json::object& fields) {
          object_store::ChangeList changes;
          changes.since = fields.at("since").to_number<std::uint64_t>();
          changes.up_to = fields.at("up_to").to_number<std::uint64_t>();
          for (const json::value& entry : fields.at("entries").as_array()) {
            changes.entries.push_back(parse_entry(entry.as_object()));
          }
          return changes;
        }));
      },
      options);
}

void HttpPlatformClient::get(const config::EntryKey& key, object_store::GetDone done) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/objects/" + key.kind + "/" + key.name;
  ClientCallOptions options = document_options();
  options.idle_timeout = kAnswerTimeout;
  client_.fetch(
      endpoint_, std::move(request),
      [done](std::variant<SimpleResponse, CallBreak> result) {
        const auto* response = std::get_if<SimpleResponse>(&result);
        if (response != nullptr && response->status == 404) {
          done(std::optional<object_store::StoredObject>());
          return;
        }
        if (response == nullptr || response->status != 200) {
          done(Error{ErrorKind::unavailable, "the platform does not answer"});
          return;
        }
        done(parse_answer<std::optional<object_store::StoredObject>>(response->body, [](const json::object& fields) {
          return std::optional(
              object_store::StoredObject{parse_entry(fields), std::string(fields.at("change_id").as_string())});
        }));
      },
      options);
}

void HttpPlatformClient::put(const object_store::PutRequest& put, object_store::PutDone done) {
  HttpRequest request;
  request.method = put.remove ? "DELETE" : "PUT";
  request.target = "/objects/" + put.key.kind + "/" + put.key.name +
                   "?expected=" + std::to_string(put.expected_revision) + "&change_id=" + put.change_id;
  request.body = put.body;
  ClientCallOptions options = document_options();
  options.idle_timeout = kAnswerTimeout;
  options.fresh_connection = true;
  client_.fetch(
      endpoint_, std::move(request),
      [done](std::variant<SimpleResponse, CallBreak> result) {
        if (const auto* reason = std::get_if<CallBreak>(&result)) {
          const bool nothing_sent = *reason == CallBreak::connect_failed;
          done(Error{nothing_sent ? ErrorKind::unavailable : ErrorKind::ambiguous, "the platform does not answer"});
          return;
        }
        const auto& response = std::get<SimpleResponse>(result);
        if (response.status == 200) {
          const auto revision = parse_answer<std::uint64_t>(response.body, [](const json::object& fields) {
            return fields.at("revision").to_number<std::uint64_t>();
          });
          // The write may have been made, although the answer cannot be read.
          done(succeeded(revision) ? revision
                                   : Result<std::uint64_t>(Error{ErrorKind::ambiguous, error_of(revision).detail}));
        } else if (response.status == 409) {
          done(Error{ErrorKind::conflict, response.body});
        } else if (response.status == 503) {
          done(Error{ErrorKind::unavailable, "the platform's store is down"});
        } else {
          done(Error{ErrorKind::invalid_argument,
                     "the platform refused the write with status " + std::to_string(response.status)});
        }
      },
      options);
}

}  // namespace madderdeck::net
