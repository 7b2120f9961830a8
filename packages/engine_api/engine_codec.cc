#include "engine_api/engine_codec.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

// Reads the fields of one JSON object. A missing field, or one of the wrong
// type, makes the whole object invalid.
class FieldReader {
 public:
  explicit FieldReader(std::string_view text)
      : json(Json::parse(text, nullptr, false)), valid(json.is_object()) {}

  void Read(const char* name, std::string& value) {
    const Json* field = this->Find(name, Json::value_t::string);
    if (field != nullptr) {
      value = field->get<std::string>();
    }
  }

  void Read(const char* name, std::int64_t& value) {
    this->ReadNumber(this->FindNumber(name), value);
  }

  void Read(const char* name, std::uint64_t& value) {
    const Json* field = this->FindNumber(name);
    if (field != nullptr) {
      this->valid = field->is_number_unsigned();
      value = this->valid ? field->get<std::uint64_t>() : 0;
    }
  }

  void Read(const char* name, bool& value) {
    const Json* field = this->Find(name, Json::value_t::boolean);
    if (field != nullptr) {
      value = field->get<bool>();
    }
  }

  void Read(const char* name, std::vector<std::int64_t>& values) {
    const Json* field = this->Find(name, Json::value_t::array);
    for (const Json& item : field != nullptr ? *field : Json::array()) {
      this->ReadNumber(item.is_number_integer() ? &item : nullptr,
                       values.emplace_back());
    }
  }

  const Json* FindArray(const char* name) {
    return this->Find(name, Json::value_t::array);
  }

  void Invalidate() { this->valid = false; }

  template <typename T>
  std::optional<T> Finish(T value) const {
    return this->valid ? std::optional<T>(std::move(value)) : std::nullopt;
  }

 private:
  const Json* FindAny(const char* name) {
    if (!this->valid) {
      return nullptr;
    }
    const auto found = this->json.find(name);
    this->valid = found != this->json.end();
    return this->valid ? &*found : nullptr;
  }

  const Json* Find(const char* name, Json::value_t type) {
    const Json* field = this->FindAny(name);
    this->valid = field != nullptr && field->type() == type;
    return this->valid ? field : nullptr;
  }

  const Json* FindNumber(const char* name) {
    const Json* field = this->FindAny(name);
    this->valid = field != nullptr && field->is_number_integer();
    return this->valid ? field : nullptr;
  }

  void ReadNumber(const Json* field, std::int64_t& value) {
    const bool in_range =
        field != nullptr &&
        (!field->is_number_unsigned() ||
         field->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    this->valid = this->valid && in_range;
    value = in_range ? field->get<std::int64_t>() : 0;
  }

  Json json;
  bool valid;
};

// Replaces invalid UTF-8, which text from callers and engines may contain.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

constexpr std::array<std::pair<EngineOrder::Kind, const char*>, 6> kOrderNames{{
    {EngineOrder::Kind::kLoadModel, "load_model"},
    {EngineOrder::Kind::kLoadMap, "load_map"},
    {EngineOrder::Kind::kStageMap, "stage_map"},
    {EngineOrder::Kind::kHoldBefore, "hold_before"},
    {EngineOrder::Kind::kActivateAt, "activate_at"},
    {EngineOrder::Kind::kContinueOn, "continue_on"},
}};

}  // namespace

std::string EncodeEngineRequest(const EngineRequest& request) {
  return Dump({{"id", request.id},
               {"model", request.model},
               {"prompt", request.prompt},
               {"max_tokens", request.max_tokens},
               {"start_index", request.start_index},
               {"priority", request.priority},
               {"stream", true}});
}

std::optional<EngineRequest> DecodeEngineRequest(std::string_view text) {
  FieldReader reader(text);
  EngineRequest request;
  reader.Read("id", request.id);
  reader.Read("model", request.model);
  reader.Read("prompt", request.prompt);
  reader.Read("max_tokens", request.max_tokens);
  reader.Read("start_index", request.start_index);
  reader.Read("priority", request.priority);
  if (request.start_index < 0 || request.max_tokens < request.start_index) {
    reader.Invalidate();
  }
  return reader.Finish(std::move(request));
}

std::string EncodeEngineStatus(const EngineStatus& status) {
  return Dump({{"incarnation", status.incarnation},
               {"model", status.model},
               {"running", status.running},
               {"queued", status.queued},
               {"step", status.step},
               {"step_time_us", status.step_time.count()},
               {"map_version", status.map_version},
               {"staged_change", status.staged_change},
               {"hold_step", status.hold_step},
               {"expert_tokens", status.expert_tokens}});
}

std::optional<EngineStatus> DecodeEngineStatus(std::string_view text) {
  FieldReader reader(text);
  EngineStatus status;
  std::int64_t step_time_us = 0;
  reader.Read("incarnation", status.incarnation);
  reader.Read("model", status.model);
  reader.Read("running", status.running);
  reader.Read("queued", status.queued);
  reader.Read("step", status.step);
  reader.Read("step_time_us", step_time_us);
  reader.Read("map_version", status.map_version);
  reader.Read("staged_change", status.staged_change);
  reader.Read("hold_step", status.hold_step);
  reader.Read("expert_tokens", status.expert_tokens);
  status.step_time = Duration(step_time_us);
  if (status.running < 0 || status.queued < 0 || step_time_us < 0) {
    reader.Invalidate();
  }
  return reader.Finish(std::move(status));
}

std::string EncodeEngineOrder(const EngineOrder& order) {
  const auto* name = kOrderNames.begin();
  while (name->first != order.kind) {
    ++name;
  }
  return Dump({{"order", name->second},
               {"fence", order.fence},
               {"model", order.model},
               {"change", order.change},
               {"version", order.version},
               {"step", order.step},
               {"bytes", order.bytes}});
}

std::optional<EngineOrder> DecodeEngineOrder(std::string_view text) {
  FieldReader reader(text);
  EngineOrder order;
  std::string name;
  reader.Read("order", name);
  reader.Read("fence", order.fence);
  reader.Read("model", order.model);
  reader.Read("change", order.change);
  reader.Read("version", order.version);
  reader.Read("step", order.step);
  reader.Read("bytes", order.bytes);
  for (const auto& [kind, kind_name] : kOrderNames) {
    if (name == kind_name) {
      order.kind = kind;
      return reader.Finish(std::move(order));
    }
  }
  return std::nullopt;
}

std::string EncodeCacheEvents(const EngineCacheEvents& events) {
  Json list = Json::array();
  for (const EngineCacheEvent& event : events.events) {
    list.push_back({event.sequence, event.stored, event.block});
  }
  return Dump({{"incarnation", events.incarnation},
               {"next", events.next},
               {"events", std::move(list)}});
}

std::optional<EngineCacheEvents> DecodeCacheEvents(std::string_view text) {
  FieldReader reader(text);
  EngineCacheEvents events;
  reader.Read("incarnation", events.incarnation);
  reader.Read("next", events.next);
  const Json* list = reader.FindArray("events");
  for (const Json& item : list != nullptr ? *list : Json::array()) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_number_unsigned() ||
        !item[1].is_boolean() || !item[2].is_number_unsigned()) {
      return std::nullopt;
    }
    events.events.push_back({item[0].get<std::int64_t>(), item[1].get<bool>(),
                             item[2].get<std::uint64_t>()});
  }
  return reader.Finish(std::move(events));
}

std::string EncodeEngineError(const EngineError& error) {
  return Dump({{"error", error.text}, {"not_run", error.not_run}});
}

std::optional<EngineError> DecodeEngineError(std::string_view text) {
  FieldReader reader(text);
  EngineError error;
  reader.Read("error", error.text);
  reader.Read("not_run", error.not_run);
  return reader.Finish(std::move(error));
}

std::string EncodeEngineEvent(const EngineEvent& event) {
  const Json json = event.kind == EngineEvent::Kind::kToken
                        ? Json{{"index", event.index}, {"text", event.text}}
                        : Json{{"done", event.index}};
  return "data: " + Dump(json) + "\n\n";
}

std::optional<EngineEvent> DecodeEngineEvent(std::string_view data) {
  FieldReader reader(data);
  EngineEvent event;
  if (data.starts_with("{\"done\"")) {
    event.kind = EngineEvent::Kind::kDone;
    reader.Read("done", event.index);
  } else {
    reader.Read("index", event.index);
    reader.Read("text", event.text);
  }
  if (event.index < 0) {
    reader.Invalidate();
  }
  return reader.Finish(std::move(event));
}

}  // namespace toucanhollow
