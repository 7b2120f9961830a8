#include "engine_api/engine_client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "engine_api/engine_codec.h"
#include "engine_api/event_stream.h"

namespace toucanhollow {
namespace {

struct StreamState {
  EngineStreamCallbacks callbacks;
  HttpCallId call = 0;
  std::int64_t next_index = 0;
  std::int64_t max_tokens = 0;
  std::string pending;
  int status = 0;
  bool complete = false;
  bool malformed = false;
  std::string error_body;
};

// Returns false if the event is malformed or does not follow from the events
// before it.
bool OnEvent(StreamState& state, std::string_view data) {
  const auto event = DecodeEngineEvent(data);
  if (!event.has_value() || state.complete ||
      event->index != state.next_index) {
    return false;
  }
  if (event->kind == EngineEvent::Kind::kDone) {
    state.complete = true;
    return true;
  }
  if (event->index >= state.max_tokens) {
    return false;
  }
  ++state.next_index;
  if (state.callbacks.on_token) {
    state.callbacks.on_token(event->index, event->text);
  }
  return true;
}

EngineStreamOutcome ToOutcome(const StreamState& state,
                              const HttpOutcome& http) {
  EngineStreamOutcome outcome;
  outcome.next_index = state.next_index;
  if (state.malformed) {
    outcome.code = ResultCode::kEngineAnswerMalformed;
    outcome.detail = "the engine's answer is malformed after token " +
                     std::to_string(state.next_index);
  } else if (state.complete) {
    outcome.end = EngineStreamEnd::kComplete;
    outcome.code = ResultCode::kAnswered;
  } else if (http.end != HttpEnd::kComplete) {
    outcome.end = http.maybe_sent ? EngineStreamEnd::kInterrupted
                                  : EngineStreamEnd::kNotRun;
    outcome.detail = http.error;
  } else if (state.status == 200) {
    outcome.detail = "the engine closed the stream early, after token " +
                     std::to_string(state.next_index);
  } else {
    const auto error = DecodeEngineError(state.error_body);
    outcome.end = error.has_value() && error->not_run
                      ? EngineStreamEnd::kNotRun
                      : EngineStreamEnd::kInterrupted;
    outcome.code = ResultCode::kEngineRefused;
    outcome.detail = "status " + std::to_string(state.status) + ": " +
                     (error ? error->text : "no reason given");
  }
  return outcome;
}

template <typename T, typename Decode>
HttpCallbacks MakeReadCallbacks(std::function<void(Result<T>)> done,
                                const Decode& decode) {
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done),
                       decode](const HttpOutcome& outcome) {
    if (outcome.end != HttpEnd::kComplete || outcome.status != 200) {
      done(MakeFailure(ResultCode::kEngineUnreachable,
                       outcome.error.empty()
                           ? "status " + std::to_string(outcome.status)
                           : outcome.error));
      return;
    }
    auto value = decode(outcome.body);
    if (value.has_value()) {
      done(*std::move(value));
    } else {
      done(MakeFailure(ResultCode::kEngineAnswerMalformed,
                       "the engine's report is malformed"));
    }
  };
  return callbacks;
}

}  // namespace

EngineClient::EngineClient(HttpClient& client, EngineClientOptions options)
    : client(client), options(std::move(options)) {}

HttpCall EngineClient::MakeCall(const std::string& method,
                                const std::string& path) const {
  HttpCall call;
  call.method = method;
  call.url = "http://" + this->options.address + path;
  call.headers = {{"Content-Type", "application/json"}};
  call.total_timeout = this->options.control_timeout;
  call.max_response_bytes = this->options.max_answer_bytes;
  return call;
}

HttpCallId EngineClient::StartStream(HttpCall call,
                                     std::int64_t first_index,
                                     std::int64_t max_tokens,
                                     EngineStreamCallbacks callbacks) {
  // No timeout applies here. The agent enforces the deadline by cancelling the
  // call.
  call.total_timeout = Duration(0);
  auto state = std::make_shared<StreamState>();
  state->callbacks = std::move(callbacks);
  state->next_index = first_index;
  state->max_tokens = max_tokens;
  const auto end = [state](const HttpOutcome& outcome) {
    // The HTTP callbacks for data and for the end share the state. The end
    // clears the callbacks stored in it.
    const EngineStreamCallbacks callbacks = std::move(state->callbacks);
    state->callbacks = {};
    if (callbacks.on_end) {
      callbacks.on_end(ToOutcome(*state, outcome));
    }
  };
  HttpCallbacks http;
  http.on_header = [state](int status, const HttpHeaders&) {
    state->status = status;
  };
  http.on_data = [this, state, end](std::string_view bytes) {
    if (state->status != 200) {
      state->error_body.append(bytes.substr(
          0,
          kMaxEventBytes - std::min(kMaxEventBytes, state->error_body.size())));
      return;
    }
    const bool readable = FeedEventStream(
        state->pending, bytes,
        [&](std::string_view data) { return OnEvent(*state, data); });
    if (!readable && !std::exchange(state->malformed, true)) {
      this->client.Cancel(state->call);
      end({});
    }
  };
  http.on_done = end;
  state->call = this->client.Start(std::move(call), std::move(http));
  return state->call;
}

HttpCallId EngineClient::Complete(const EngineRequest& request,
                                  EngineStreamCallbacks callbacks) {
  HttpCall call = this->MakeCall("POST", "/v1/completions");
  call.body = EncodeEngineRequest(request);
  return this->StartStream(std::move(call), request.start_index,
                           request.max_tokens, std::move(callbacks));
}

HttpCallId EngineClient::Resume(const EngineRequest& request,
                                std::int64_t from,
                                EngineStreamCallbacks callbacks) {
  return this->StartStream(
      this->MakeCall("GET", "/v1/streams/" + PercentEncode(request.id) +
                                "?from=" + std::to_string(from)),
      from, request.max_tokens, std::move(callbacks));
}

HttpCallId EngineClient::CancelStream(const std::string& id,
                                      std::function<void(bool)> done) {
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done)](const HttpOutcome& outcome) {
    if (done) {
      done(outcome.end == HttpEnd::kComplete && outcome.status == 200);
    }
  };
  HttpCall call = this->MakeCall("DELETE", "/v1/streams/" + PercentEncode(id));
  call.repeatable = true;
  return this->client.Start(std::move(call), std::move(callbacks));
}

HttpCallId EngineClient::ReadStatus(
    std::function<void(Result<EngineStatus>)> done) {
  HttpCall call = this->MakeCall("GET", "/v1/status");
  call.repeatable = true;
  return this->client.Start(
      std::move(call), MakeReadCallbacks(std::move(done), DecodeEngineStatus));
}

HttpCallId EngineClient::ReadCacheEvents(
    std::int64_t from,
    std::function<void(Result<EngineCacheEvents>)> done) {
  HttpCall call =
      this->MakeCall("GET", "/v1/cache_events?from=" + std::to_string(from));
  call.repeatable = true;
  return this->client.Start(
      std::move(call), MakeReadCallbacks(std::move(done), DecodeCacheEvents));
}

HttpCallId EngineClient::SendEngineOrder(
    const EngineOrder& order,
    std::function<void(Result<bool>)> done) {
  HttpCall call = this->MakeCall("POST", "/v1/orders");
  call.body = EncodeEngineOrder(order);
  // Orders are idempotent, because each states a fact recorded in the log.
  call.repeatable = true;
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done)](const HttpOutcome& outcome) {
    if (outcome.end != HttpEnd::kComplete) {
      done(MakeFailure(ResultCode::kEngineUnreachable, outcome.error));
    } else if (outcome.status != 200) {
      const auto error = DecodeEngineError(outcome.body);
      done(MakeFailure(ResultCode::kEngineRefused,
                       error ? error->text : "no reason given"));
    } else {
      done(true);
    }
  };
  return this->client.Start(std::move(call), std::move(callbacks));
}

void EngineClient::Cancel(HttpCallId id) {
  this->client.Cancel(id);
}

}  // namespace toucanhollow
