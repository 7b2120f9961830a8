#include "operator_api/operator_api.h"

#include <string>

#include "event_codec/event_codec.h"

namespace toucanhollow {
namespace {

std::string EncodeTimeline(const ProcessContext& context,
                           const HttpRequest& request) {
  const auto after = QueryValue(request.query, "after");
  const auto sequence = after ? ParseDecimal(*after) : std::nullopt;
  std::string lines;
  for (const Event& event : context.timeline.EventsAfter(
           static_cast<std::uint64_t>(sequence.value_or(0)))) {
    lines += EncodeEvent(event) + "\n";
  }
  return lines;
}

}  // namespace

bool HandleOperatorRequest(ProcessContext& context,
                           bool ready,
                           const HttpRequest& request,
                           HttpResponseWriter& writer) {
  const HttpHeaders plain = {{"Content-Type", "text/plain"}};
  if (request.path == "/healthz") {
    writer.Respond(200, plain, "alive\n");
  } else if (request.path == "/ready") {
    writer.Respond(ready ? 200 : 503, plain, ready ? "ready\n" : "not ready\n");
  } else if (request.path == "/metrics") {
    writer.Respond(200, plain, context.metrics.FormatText());
  } else if (request.path == "/timeline") {
    writer.Respond(200, {{"Content-Type", "application/x-ndjson"}},
                   EncodeTimeline(context, request));
  } else {
    return false;
  }
  return true;
}

}  // namespace toucanhollow
