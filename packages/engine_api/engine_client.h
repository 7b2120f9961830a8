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
  // Of one answer; a longer one is cut off as a fault.
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
};

enum class EngineStreamEnd {
  kComplete,     // every token up to the count has come
  kNotRun,       // certainly not run
  kInterrupted,  // may have run; a later index can be resumed
};

struct EngineStreamOutcome {
  EngineStreamEnd end = EngineStreamEnd::kInterrupted;
  // First index that has not come.
  std::int64_t next_index = 0;
  // kAnswered, kEngineUnreachable, kEngineRefused or kEngineAnswerMalformed.
  ResultCode code = ResultCode::kEngineUnreachable;
  std::string detail;
};

struct EngineStreamCallbacks {
  // Indices come in ascending order without gaps.
  std::function<void(std::int64_t index, std::string_view text)> on_token;
  std::function<void(EngineStreamOutcome outcome)> on_end;
};

class EngineClient {
 public:
  EngineClient(HttpClient& client, EngineClientOptions options);

  HttpCallId Complete(const EngineRequest& request,
                      EngineStreamCallbacks callbacks);
  // Streams an answer that was begun before, from index `from` on.
  HttpCallId Resume(const EngineRequest& request,
                    std::int64_t from,
                    EngineStreamCallbacks callbacks);
  // Stops a stream by the id of its request. `done` may be empty.
  HttpCallId CancelStream(const std::string& id,
                          std::function<void(bool stopped)> done);

  // These fail with kEngineUnreachable or kEngineAnswerMalformed.
  HttpCallId ReadStatus(std::function<void(Result<EngineStatus>)> done);
  HttpCallId ReadCacheEvents(
      std::int64_t from,
      std::function<void(Result<EngineCacheEvents>)> done);

  // Fails with kEngineRefused if the engine says no, and with
  // kEngineUnreachable if it may have taken the order.
  HttpCallId SendEngineOrder(const EngineOrder& order,
                             std::function<void(Result<bool>)> done);

  // Closes a call of this client; no callback comes afterwards.
  void Cancel(HttpCallId id);

 private:
  HttpCallId Stream(HttpCall call,
                    std::int64_t first_index,
                    std::int64_t max_tokens,
                    EngineStreamCallbacks callbacks);
  HttpCall MakeCall(const std::string& method, const std::string& path) const;

  HttpClient& client;
  EngineClientOptions options;
};

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_CLIENT_H_
