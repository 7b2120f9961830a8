#include "log_codec/claims_codec.h"

#include <optional>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "json_fields/json_fields.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

json EncodeKey(const char* type,
               const ScopedKey& key,
               const DispatchId& dispatch) {
  return {{"type", type},
          {"account", BytesToText(key.account.value)},
          {"service", BytesToText(key.service.value)},
          {"key", BytesToText(FormatKey(key))},
          {"dispatch", BytesToText(dispatch.value)}};
}

struct RecordEncoder {
  json operator()(const ClaimRecord& claim) const {
    json object = EncodeKey("claim", claim.key, claim.dispatch);
    object["digest"] = claim.digest;
    object["agent"] = BytesToText(claim.agent.value);
    object["incarnation"] = claim.incarnation.value;
    return object;
  }
  json operator()(const VoidRecord& record) const {
    return EncodeKey("void", record.key, record.dispatch);
  }
  json operator()(const ReleaseRecord& release) const {
    json object = EncodeKey("release", release.key, release.dispatch);
    object["agent"] = BytesToText(release.agent.value);
    object["incarnation"] = release.incarnation.value;
    return object;
  }
  json operator()(const ResultRecord& result) const {
    json object = EncodeKey("result", result.key, result.dispatch);
    object["status"] = result.http_status;
    object["body"] = BytesToText(result.body);
    object["whole"] = result.whole;
    return object;
  }
};

std::optional<ScopedKey> DecodeKey(const json& object) {
  auto account = FindBytesField(object, "account");
  auto service = FindBytesField(object, "service");
  const auto text = FindBytesField(object, "key");
  if (!account || !service || !text) {
    return std::nullopt;
  }
  auto key = ParseKey({std::move(*account)}, {std::move(*service)}, *text);
  if (!key) {
    return std::nullopt;
  }
  return std::move(key).value();
}

std::optional<ClaimsRecord> DecodeResult(const json& object,
                                         ScopedKey key,
                                         DispatchId dispatch) {
  const auto status = FindIntegerField(object, "status");
  auto body = FindBytesField(object, "body");
  const auto whole = FindBoolField(object, "whole");
  if (!status || *status < 100 || *status > 999 || !body || !whole ||
      body->size() > kMaxResultBodyBytes) {
    return std::nullopt;
  }
  return ResultRecord{std::move(key), std::move(dispatch),
                      static_cast<int>(*status), std::move(*body), *whole};
}

std::optional<ClaimsRecord> DecodeRecord(const json& object) {
  const auto type = FindStringField(object, "type");
  auto key = DecodeKey(object);
  auto dispatch = FindBytesField(object, "dispatch");
  if (!type || !key || !dispatch) {
    return std::nullopt;
  }
  if (*type == "void") {
    return VoidRecord{std::move(*key), {std::move(*dispatch)}};
  }
  if (*type == "result") {
    return DecodeResult(object, std::move(*key), {std::move(*dispatch)});
  }
  auto agent = FindBytesField(object, "agent");
  const auto incarnation = FindUnsignedField(object, "incarnation");
  if (!agent || !incarnation) {
    return std::nullopt;
  }
  if (*type == "release") {
    return ReleaseRecord{std::move(*key),
                         {std::move(*dispatch)},
                         {std::move(*agent)},
                         {*incarnation}};
  }
  const auto digest = FindUnsignedField(object, "digest");
  if (*type != "claim" || !digest) {
    return std::nullopt;
  }
  return ClaimRecord{std::move(*key),
                     *digest,
                     {std::move(*dispatch)},
                     {std::move(*agent)},
                     {*incarnation}};
}

}  // namespace

std::string EncodeClaims(std::span<const ClaimsRecord> records) {
  json list = json::array();
  for (const ClaimsRecord& record : records) {
    list.push_back(std::visit(RecordEncoder{}, record));
  }
  return DumpJson({{"claims", std::move(list)}});
}

DecodedClaims DecodeClaims(const LogEntry& entry) {
  DecodedClaims decoded{{entry.offset, entry.time, {}}, 0};
  const std::optional<json> payload = ParseJson(entry.payload);
  const json* list = payload ? FindField(*payload, "claims") : nullptr;
  if (list == nullptr || !list->is_array()) {
    decoded.unreadable = 1;
    return decoded;
  }
  for (const json& object : *list) {
    if (auto record = DecodeRecord(object)) {
      decoded.entry.records.push_back(std::move(*record));
    } else {
      ++decoded.unreadable;
    }
  }
  return decoded;
}

}  // namespace toucanhollow
