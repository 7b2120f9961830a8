#include "wire/codec.h"

#include <cstddef>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "cbor/read_cbor.h"

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

// Each message type lists its fields and their keys in the frame once, for both
// encoding and decoding.
template <typename M, typename T>
struct Field {
  const char* key;
  T M::*member;
};
template <typename M, typename T>
Field(const char*, T M::*) -> Field<M, T>;

template <typename M>
constexpr auto kFields = std::tuple<>();
template <>
constexpr auto kFields<Hello> = std::tuple(Field{"min", &Hello::version_min},
                                           Field{"max", &Hello::version_max},
                                           Field{"process", &Hello::process},
                                           Field{"dc", &Hello::data_centre},
                                           Field{"role", &Hello::role},
                                           Field{"inc", &Hello::incarnation},
                                           Field{"config",
                                                 &Hello::config_offset},
                                           Field{"endpoint", &Hello::endpoint},
                                           Field{"service", &Hello::service},
                                           Field{"key", &Hello::shared_key});
template <>
constexpr auto kFields<Heartbeat> =
    std::tuple(Field{"time", &Heartbeat::time},
               Field{"config", &Heartbeat::config_offset},
               Field{"leaving", &Heartbeat::leaving},
               Field{"limit", &Heartbeat::limit},
               Field{"inflight", &Heartbeat::in_flight},
               Field{"full", &Heartbeat::full_limit},
               Field{"queued", &Heartbeat::queued},
               Field{"granted", &Heartbeat::granted},
               Field{"takes", &Heartbeat::takes_work},
               Field{"service", &Heartbeat::mean_service},
               Field{"warm", &Heartbeat::warm},
               Field{"step", &Heartbeat::step_time});
template <>
constexpr auto kFields<Grant> = std::tuple(Field{"count", &Grant::count},
                                           Field{"valid", &Grant::valid_for});
template <>
constexpr auto kFields<Dispatch> =
    std::tuple(Field{"id", &Dispatch::dispatch_id},
               Field{"request", &Dispatch::request_id},
               Field{"attempt", &Dispatch::attempt},
               Field{"inc", &Dispatch::receiver},
               Field{"account", &Dispatch::account},
               Field{"service", &Dispatch::service},
               Field{"model", &Dispatch::model},
               Field{"method", &Dispatch::method},
               Field{"path", &Dispatch::path},
               Field{"type", &Dispatch::content_type},
               Field{"body", &Dispatch::body},
               Field{"max", &Dispatch::max_tokens},
               Field{"priority", &Dispatch::priority},
               Field{"remaining", &Dispatch::remaining},
               Field{"key", &Dispatch::idempotency_key},
               Field{"repeatable", &Dispatch::repeatable},
               Field{"stream", &Dispatch::stream},
               Field{"resume", &Dispatch::resume_index},
               Field{"resume_text", &Dispatch::resume_text},
               Field{"config", &Dispatch::config_offset});
template <>
constexpr auto kFields<Accepted> = std::tuple(Field{"id",
                                                    &Accepted::dispatch_id});
template <>
constexpr auto kFields<Cancel> = std::tuple(Field{"id", &Cancel::dispatch_id});
template <>
constexpr auto kFields<Token> = std::tuple(Field{"id", &Token::dispatch_id},
                                           Field{"i", &Token::index},
                                           Field{"text", &Token::text});
template <>
constexpr auto kFields<Done> = std::tuple(Field{"id", &Done::dispatch_id},
                                          Field{"count", &Done::count},
                                          Field{"status", &Done::status},
                                          Field{"type", &Done::content_type},
                                          Field{"reason",
                                                &Done::finish_reason});
template <>
constexpr auto kFields<Refused> = std::tuple(Field{"id", &Refused::dispatch_id},
                                             Field{"code", &Refused::code},
                                             Field{"not_run",
                                                   &Refused::not_run},
                                             Field{"detail", &Refused::detail});
template <>
constexpr auto kFields<OutcomeUnknown> =
    std::tuple(Field{"id", &OutcomeUnknown::dispatch_id},
               Field{"code", &OutcomeUnknown::code},
               Field{"detail", &OutcomeUnknown::detail});
template <>
constexpr auto kFields<SnapshotRequest> = std::tuple(Field{
    "config", &SnapshotRequest::config_offset});
template <>
constexpr auto kFields<Snapshot> = std::tuple(Field{"as_of", &Snapshot::as_of},
                                              Field{"text", &Snapshot::text});
template <>
constexpr auto kFields<CacheNotice> =
    std::tuple(Field{"endpoint", &CacheNotice::endpoint},
               Field{"events", &CacheNotice::events});

template <typename M, typename Visit>
void VisitFields(const Visit& visit) {
  std::apply([&](const auto&... field) { (visit(field), ...); }, kFields<M>);
}

constexpr std::string_view kTypeKey = "t";
constexpr std::string_view kClockKey = "hlc";

// Type numbers follow the order of the alternatives of Message. They are part
// of the protocol, so a type must never change its number.
template <std::size_t Index>
constexpr int kTypeNumber = static_cast<int>(Index) + 1;

template <typename Tag>
Json ToJson(const Name<Tag>& name) {
  return name.value;
}
Json ToJson(const Incarnation& incarnation) {
  return incarnation.value;
}
Json ToJson(Duration duration) {
  return duration.count();
}
Json ToJson(WallTime time) {
  return time.time_since_epoch().count();
}
Json ToJson(ResultCode code) {
  return static_cast<int>(code);
}
template <typename T>
requires std::is_arithmetic_v<T> || std::is_same_v<T, std::string> Json
ToJson(const T& value) {
  return value;
}

// Each FromJson returns false if the value has an unexpected type or is out of
// range.
bool FromJson(const Json& json, std::string* value) {
  if (!json.is_string()) {
    return false;
  }
  *value = json.get_ref<const std::string&>();
  return true;
}
bool FromJson(const Json& json, bool* value) {
  if (!json.is_boolean()) {
    return false;
  }
  *value = json.get<bool>();
  return true;
}
template <typename T>
requires std::is_integral_v<T>
bool FromJson(const Json& json, T* value) {
  if (json.is_number_unsigned()) {
    const auto number = json.get<std::uint64_t>();
    *value = static_cast<T>(number);
    return std::in_range<T>(number);
  }
  if (json.is_number_integer()) {
    const auto number = json.get<std::int64_t>();
    *value = static_cast<T>(number);
    return std::in_range<T>(number);
  }
  return false;
}
template <typename Tag>
bool FromJson(const Json& json, Name<Tag>* name) {
  return FromJson(json, &name->value);
}
bool FromJson(const Json& json, Incarnation* incarnation) {
  return FromJson(json, &incarnation->value);
}
bool FromJson(const Json& json, Duration* duration) {
  Duration::rep count = 0;
  const bool valid = FromJson(json, &count);
  *duration = Duration(count);
  return valid;
}
bool FromJson(const Json& json, WallTime* time) {
  Duration since_epoch{0};
  const bool valid = FromJson(json, &since_epoch);
  *time = WallTime(since_epoch);
  return valid;
}
bool FromJson(const Json& json, ResultCode* code) {
  int number = 0;
  if (!FromJson(json, &number)) {
    return false;
  }
  for (const ResultCodeDescription& description : ResultCodeTable()) {
    if (static_cast<int>(description.code) == number) {
      *code = description.code;
      return true;
    }
  }
  // An unknown code of a newer peer is mapped to a known code of the same class
  // (1100 to 1199 means "not run"), so that the outcome stays correct.
  const bool not_run = number >= 1100 && number < 1200;
  *code =
      not_run ? ResultCode::kNoEndpointAvailable : ResultCode::kOutcomeUnknown;
  return true;
}

// Fields with their default value are omitted, which keeps heartbeats near 100
// bytes. The defaults are therefore part of the protocol.
template <typename M>
Json EncodeFields(const M& message) {
  [[maybe_unused]] static const M defaults{};
  Json object = Json::object();
  VisitFields<M>([&](const auto& field) {
    if (message.*field.member != defaults.*field.member) {
      object[field.key] = ToJson(message.*field.member);
    }
  });
  return object;
}

template <typename M>
Result<DecodedFrame> DecodeFields(const Json& object, DecodedFrame frame) {
  M message;
  std::size_t known_fields = 1 + object.count(kClockKey);
  std::string invalid;
  VisitFields<M>([&](const auto& field) {
    const auto found = object.find(field.key);
    if (found == object.end()) {
      return;
    }
    ++known_fields;
    if (!FromJson(*found, &(message.*field.member))) {
      invalid = field.key;
    }
  });
  if (!invalid.empty()) {
    return MakeFailure(
        ResultCode::kFrameMalformed,
        "field '" + invalid + "' has an unexpected type or is out of range");
  }
  frame.counts.unknown_fields = object.size() - known_fields;
  frame.message = std::move(message);
  return frame;
}

template <std::size_t Index = 0>
Result<DecodedFrame> DecodeType(int type,
                                const Json& object,
                                DecodedFrame frame) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (type == kTypeNumber<Index>) {
      return DecodeFields<std::variant_alternative_t<Index, Message>>(
          object, std::move(frame));
    }
    return DecodeType<Index + 1>(type, object, std::move(frame));
  } else {
    frame.counts.unknown_types = 1;
    return frame;
  }
}

}  // namespace

std::string EncodeMessage(const Message& message, HybridTime clock) {
  Json object = std::visit(
      [](const auto& typed) { return EncodeFields(typed); }, message);
  object[std::string(kTypeKey)] = message.index() + 1;
  if (clock != HybridTime{}) {
    object[std::string(kClockKey)] =
        Json::array({clock.wall_us, clock.counter});
  }
  std::string frame;
  Json::to_cbor(object, frame);
  return frame;
}

Result<DecodedFrame> DecodeMessage(std::string_view frame) {
  BOOST_OUTCOME_TRY(object, ReadCbor(frame));
  if (!object.is_object()) {
    return MakeFailure(ResultCode::kFrameMalformed,
                       "the frame is not a CBOR map");
  }
  const auto type = object.find(kTypeKey);
  int type_number = 0;
  if (type == object.end() || !FromJson(*type, &type_number)) {
    return MakeFailure(ResultCode::kFrameMalformed,
                       "the frame has no message type");
  }
  DecodedFrame decoded;
  const auto clock = object.find(kClockKey);
  if (clock != object.end() &&
      (!clock->is_array() || clock->size() != 2 ||
       !FromJson((*clock)[0], &decoded.clock.wall_us) ||
       !FromJson((*clock)[1], &decoded.clock.counter))) {
    return MakeFailure(
        ResultCode::kFrameMalformed,
        "the clock of the frame is not a pair of integers in range");
  }
  return DecodeType(type_number, object, std::move(decoded));
}

}  // namespace toucanhollow
