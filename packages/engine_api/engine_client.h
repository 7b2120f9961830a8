// Client of one model engine.
#ifndef ENGINE_API_ENGINE_CLIENT_H_
#define ENGINE_API_ENGINE_CLIENT_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "engine_api/cache_event.h"
#include "engine_api/engine_order.h"
#include "engine_api/engine_request.h"
#include "engine_api/engine_status.h"
#include "http_client/http_client.h"

namespace toucanhollow {

struct EngineClientOptions {
  // <IP address>:<port>
  std::string address;
  Duration control_timeout = Seconds(2);
  // Maximum size of one answer. A longer answer fails the call.
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
};

enum class EngineStreamEnd {
  kComplete,     // every token up to the final count has arrived
  kNotRun,       // certainly not run
  kInterrupted,  // may have run; can be resumed at a later index
};

struct EngineStreamOutcome {
  EngineStreamEnd end = EngineStreamEnd::kInterrupted;
  // First token index that has not arrived.
  std::int64_t next_index = 0;
  // kAnswered, kEngineUnreachable, kEngineRefused or kEngineAnswerMalformed.
  ResultCode code = ResultCode::kEngineUnreachable;
  std::string detail;
};

struct EngineStreamCallbacks {
  // Called with ascending indices without gaps.
  std::function<void(std::int64_t index, std::string_view text)> on_token;
  std::function<void(EngineStreamOutcome outcome)> on_end;
};

class EngineClient {
 public:
  EngineClient(HttpClient& client, EngineClientOptions options);

  // Starts a completion and streams its answer.
  HttpCallId Complete(const EngineRequest& request,
                      EngineStreamCallbacks callbacks);
  // Streams the answer of an earlier request, starting at token index `from`.
  HttpCallId Resume(const EngineRequest& request,
                    std::int64_t from,
                    EngineStreamCallbacks callbacks);
  // Stops the stream of the request with this id. `done` may be empty.
  HttpCallId CancelStream(const std::string& id,
                          std::function<void(bool stopped)> done);

  // Both reads fail with kEngineUnreachable or kEngineAnswerMalformed.
  HttpCallId ReadStatus(std::function<void(Result<EngineStatus>)> done);
  HttpCallId ReadCacheEvents(
      std::int64_t from,
      std::function<void(Result<EngineCacheEvents>)> done);

  // Fails with kEngineRefused if the engine refuses the order, and with
  // kEngineUnreachable if the engine may have accepted it.
  HttpCallId SendEngineOrder(const EngineOrder& order,
                             std::function<void(Result<bool>)> done);

  // Closes a call of this client. None of its callbacks runs afterwards.
  void Cancel(HttpCallId id);

 private:
  HttpCallId StartStream(HttpCall call,
                         std::int64_t first_index,
                         std::int64_t max_tokens,
                         EngineStreamCallbacks callbacks);
  HttpCall MakeCall(const std::string& method, const std::string& path) const;

  HttpClient& client;
  EngineClientOptions options;
};

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_CLIENT_H_
