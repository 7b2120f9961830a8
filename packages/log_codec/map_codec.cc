#include "log_codec/map_codec.h"

#include <limits>
#include <optional>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "json_fields/json_fields.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

// Reject payloads that would take a disproportionate amount of memory.
constexpr std::int64_t kMaxMapRanks = 4096;
constexpr std::uint64_t kMaxExpertNumber = 1 << 20;
constexpr std::uint64_t kMaxWeight = 1 << 20;

json EncodeMap(const ExpertMap& map) {
  json object = {{"experts", map.experts_by_rank}};
  if (!map.weights_by_rank.empty()) {
    object["weights"] = map.weights_by_rank;
  }
  return object;
}

struct RecordEncoder {
  json operator()(const UnreadableMapRecord&) const {
    return {{"type", "unreadable"}};
  }
  json operator()(const ProposeRecord& proposal) const {
    return {{"type", "propose"},
            {"change", BytesToText(proposal.change)},
            {"base_version", proposal.base_version},
            {"map", EncodeMap(proposal.map)},
            {"activation_step", proposal.activation_step},
            {"ranks", proposal.ranks},
            {"lead_us", proposal.lead.count()},
            {"proposer", BytesToText(proposal.proposer.value)}};
  }
  json operator()(const ConfirmRecord& confirm) const {
    return {{"type", "confirm"},
            {"change", confirm.change},
            {"rank", confirm.rank},
            {"agent", confirm.agent.value},
            {"engine", confirm.engine.value},
            {"engine_step", confirm.engine_step}};
  }
  json operator()(const AbortRecord& abort) const {
    return {{"type", "abort"},
            {"change", abort.change},
            {"reason", BytesToText(abort.reason)}};
  }
  json operator()(const MapRefreshRecord& refresh) const {
    return {{"type", "refresh"},
            {"version", refresh.version},
            {"map", EncodeMap(refresh.map)},
            {"activation_step", refresh.activation_step},
            {"last_step", refresh.highest_activation_step},
            {"as_of", refresh.as_of}};
  }
};

// Returns the lists of numbers from 0 to `max` in the field, one list for each
// rank.
std::optional<std::vector<std::vector<int>>>
FindNumberLists(const json& object, const char* name, std::uint64_t max) {
  const json* ranks = FindField(object, name);
  if (ranks == nullptr || !ranks->is_array() ||
      ranks->size() > static_cast<std::size_t>(kMaxMapRanks)) {
    return std::nullopt;
  }
  std::vector<std::vector<int>> lists;
  for (const json& rank : *ranks) {
    if (!rank.is_array()) {
      return std::nullopt;
    }
    std::vector<int>& list = lists.emplace_back();
    for (const json& number : rank) {
      if (!number.is_number_unsigned() || number.get<std::uint64_t>() > max) {
        return std::nullopt;
      }
      list.push_back(number.get<int>());
    }
  }
  return lists;
}

// The weights are optional; without them, replicas share the load evenly.
std::optional<ExpertMap> DecodeMap(const json& object) {
  const json* map = FindField(object, "map");
  if (map == nullptr) {
    return std::nullopt;
  }
  auto experts = FindNumberLists(*map, "experts", kMaxExpertNumber);
  std::optional<std::vector<std::vector<int>>> weights;
  if (FindField(*map, "weights") != nullptr) {
    weights = FindNumberLists(*map, "weights", kMaxWeight);
    if (!weights) {
      return std::nullopt;
    }
  }
  if (!experts) {
    return std::nullopt;
  }
  return ExpertMap{std::move(*experts), std::move(weights).value_or(
                                            std::vector<std::vector<int>>{})};
}

std::optional<ProposeRecord> DecodeProposal(const json& object) {
  auto change = FindBytesField(object, "change");
  const auto base = FindIntegerField(object, "base_version");
  auto map = DecodeMap(object);
  const auto activation = FindIntegerField(object, "activation_step");
  const auto ranks = FindIntegerField(object, "ranks");
  const auto lead = FindIntegerField(object, "lead_us");
  auto proposer = FindBytesField(object, "proposer");
  if (!change || !base || !map || !activation || !ranks || *ranks < 1 ||
      *ranks > kMaxMapRanks || !lead || *lead < 0 || !proposer) {
    return std::nullopt;
  }
  return ProposeRecord{std::move(*change),       *base,
                       std::move(*map),          *activation,
                       static_cast<int>(*ranks), Duration(*lead),
                       {std::move(*proposer)}};
}

std::optional<ConfirmRecord> DecodeConfirm(const json& object) {
  const auto change = FindIntegerField(object, "change");
  const auto rank = FindIntegerField(object, "rank");
  const auto agent = FindUnsignedField(object, "agent");
  const auto engine = FindUnsignedField(object, "engine");
  const auto step = FindIntegerField(object, "engine_step");
  if (!change || !rank || *rank < 0 || *rank >= kMaxMapRanks || !agent ||
      !engine || !step) {
    return std::nullopt;
  }
  return ConfirmRecord{*change, static_cast<int>(*rank), Incarnation{*agent},
                       Incarnation{*engine}, *step};
}

std::optional<MapRefreshRecord> DecodeRefresh(const json& object) {
  const auto version = FindIntegerField(object, "version");
  auto map = DecodeMap(object);
  const auto activation = FindIntegerField(object, "activation_step");
  const auto highest_activation_step = FindIntegerField(object, "last_step");
  const auto as_of = FindIntegerField(object, "as_of");
  if (!version || !map || !activation || !highest_activation_step || !as_of) {
    return std::nullopt;
  }
  return MapRefreshRecord{*version, std::move(*map), *activation,
                          *highest_activation_step, *as_of};
}

template <typename T>
void SetRecord(MapEntry& entry, std::optional<T> record) {
  if (record) {
    entry.record = std::move(*record);
  }
}

}  // namespace

std::string EncodeMapEntry(const MapEntry& entry) {
  json object = std::visit(RecordEncoder{}, entry.record);
  object["group"] = BytesToText(entry.group.value);
  return DumpJson(object);
}

MapEntry DecodeMapEntry(const LogEntry& entry) {
  MapEntry decoded{entry.offset, entry.time, {}, UnreadableMapRecord{}};
  const std::optional<json> object = ParseJson(entry.payload);
  if (!object) {
    return decoded;
  }
  const auto type = FindStringField(*object, "type");
  auto group = FindBytesField(*object, "group");
  if (!type || !group) {
    return decoded;
  }
  decoded.group = {std::move(*group)};
  if (*type == "propose") {
    SetRecord(decoded, DecodeProposal(*object));
  } else if (*type == "confirm") {
    SetRecord(decoded, DecodeConfirm(*object));
  } else if (*type == "abort") {
    const auto change = FindIntegerField(*object, "change");
    auto reason = FindBytesField(*object, "reason");
    if (change && reason) {
      decoded.record = AbortRecord{*change, std::move(*reason)};
    }
  } else if (*type == "refresh") {
    SetRecord(decoded, DecodeRefresh(*object));
  }
  return decoded;
}

}  // namespace toucanhollow
