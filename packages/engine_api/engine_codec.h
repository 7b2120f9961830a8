// The HTTP format of the engines: JSON, and server-sent events for answers.
// Only this package depends on the format.
//
//   POST   /v1/completions            EngineRequest -> event stream
//   GET    /v1/streams/<id>?from=<n>  -> event stream from token index n on
//   DELETE /v1/streams/<id>           cancels the stream
//   GET    /v1/status                 -> EngineStatus
//   GET    /v1/cache_events?from=<n>  -> EngineCacheEvents
//   POST   /v1/orders                 EngineOrder -> status 200 or 409
//
// An error has the body {"error": <text>, "not_run": <bool>}.
#ifndef ENGINE_API_ENGINE_CODEC_H_
#define ENGINE_API_ENGINE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "engine_api/cache_event.h"
#include "engine_api/engine_order.h"
#include "engine_api/engine_request.h"
#include "engine_api/engine_status.h"

namespace toucanhollow {

struct EngineError {
  std::string text;
  bool not_run = false;

  bool operator==(const EngineError&) const = default;
};

std::string EncodeEngineRequest(const EngineRequest& request);
std::optional<EngineRequest> DecodeEngineRequest(std::string_view text);

std::string EncodeEngineStatus(const EngineStatus& status);
std::optional<EngineStatus> DecodeEngineStatus(std::string_view text);

std::string EncodeEngineOrder(const EngineOrder& order);
std::optional<EngineOrder> DecodeEngineOrder(std::string_view text);

std::string EncodeCacheEvents(const EngineCacheEvents& events);
std::optional<EngineCacheEvents> DecodeCacheEvents(std::string_view text);

std::string EncodeEngineError(const EngineError& error);
std::optional<EngineError> DecodeEngineError(std::string_view text);

// Returns the event in the form "data: {...}\n\n".
std::string EncodeEngineEvent(const EngineEvent& event);
// `data` is the text between "data: " and the end of the line.
std::optional<EngineEvent> DecodeEngineEvent(std::string_view data);

}  // namespace toucanhollow

#endif  // ENGINE_API_ENGINE_CODEC_H_
