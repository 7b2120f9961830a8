#include "event_codec/event_codec.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

void SetIfNotEmpty(Json& json, const char* key, const std::string& value) {
  if (!value.empty()) {
    json[key] = value;
  }
}

std::optional<Event> DecodeEvent(std::string_view line) {
  const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  // value() throws if a field's type differs from that of its default.
  try {
    const auto kind = ParseEventKind(json.value("kind", std::string()));
    if (!kind) {
      return std::nullopt;
    }
    Event event;
    event.kind = *kind;
    event.time.wall_us = json.value("wall_us", std::int64_t{0});
    event.time.counter = json.value("counter", std::uint32_t{0});
    event.process.value = json.value("process", std::string());
    event.incarnation.value = json.value("incarnation", std::uint64_t{0});
    event.sequence = json.value("sequence", std::uint64_t{0});
    event.request.value = json.value("request", std::string());
    event.dispatch.value = json.value("dispatch", std::string());
    event.endpoint.value = json.value("endpoint", std::string());
    event.subject = json.value("subject", std::string());
    event.code = json.value("code", 0);
    event.detail = json.value("detail", std::string());
    return event;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeEvent(const Event& event) {
  Json json = {{"wall_us", event.time.wall_us},
               {"counter", event.time.counter},
               {"process", event.process.value},
               {"incarnation", event.incarnation.value},
               {"sequence", event.sequence},
               {"kind", EventKindName(event.kind)}};
  SetIfNotEmpty(json, "request", event.request.value);
  SetIfNotEmpty(json, "dispatch", event.dispatch.value);
  SetIfNotEmpty(json, "endpoint", event.endpoint.value);
  SetIfNotEmpty(json, "subject", event.subject);
  SetIfNotEmpty(json, "detail", event.detail);
  if (event.code != 0) {
    json["code"] = event.code;
  }
  // Replaces invalid UTF-8, which details may quote.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

DecodedEvents DecodeEvents(std::string_view lines) {
  DecodedEvents decoded;
  while (!lines.empty()) {
    const std::size_t end = lines.find('\n');
    const std::string_view line = lines.substr(0, end);
    lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + 1);
    if (line.empty()) {
      continue;
    }
    if (std::optional<Event> event = DecodeEvent(line)) {
      decoded.events.push_back(*std::move(event));
    } else {
      ++decoded.skipped;
    }
  }
  return decoded;
}

}  // namespace toucanhollow
