#include "permit/permit_codec.h"

#include <cmath>

#include <nlohmann/json.hpp>

#include "cbor/read_cbor.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

constexpr std::string_view kTag = "permit";
// The CBOR head of an array of four elements, and that of the tag.
constexpr std::string_view kPrefix = "\x84\x66permit";

std::string ToBytes(const json& document) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

template <typename Value, typename Decode>
Result<Value> DecodeCbor(std::string_view bytes, Decode decode) {
  if (!IsPermitMessage(bytes)) {
    return MakeFailure(ResultCode::kFrameMalformed, "not a permit message");
  }
  BOOST_OUTCOME_TRY(document, ReadCbor(bytes));
  try {
    return decode(document);
  } catch (const json::exception& error) {
    return MakeFailure(ResultCode::kFrameMalformed, error.what());
  }
}

// Another rate would leave a bucket that is never refilled.
bool IsPlausible(const PermitRate& rate) {
  return std::isfinite(rate.per_s) && rate.per_s >= 0 &&
         std::isfinite(rate.burst) && rate.burst >= 0;
}

Result<AgedLimit> DecodeLimit(const json& terms) {
  const std::optional<ServerLimitKind> kind =
      ToLimitKind(terms.at(4).get<int>());
  AgedLimit limit;
  limit.per_s = terms.at(5).get<double>();
  limit.age = Duration(terms.at(6).get<Duration::rep>());
  if (!kind || !IsPlausible(limit)) {
    return MakeFailure(ResultCode::kFrameMalformed,
                       "the limit of the server is out of range");
  }
  limit.kind = *kind;
  return limit;
}

}  // namespace

bool IsPermitMessage(std::string_view bytes) {
  return bytes.starts_with(kPrefix);
}

std::string EncodePermitRequest(const PermitRequest& request) {
  json terms = json::array({request.rate.per_s, request.rate.burst});
  const bool has_server_terms =
      request.start_time_ms != 0 || request.limit.has_value();
  if (request.purpose != PermitPurpose::kRequest || has_server_terms) {
    terms.push_back(static_cast<int>(request.purpose));
  }
  if (has_server_terms) {
    terms.push_back(request.start_time_ms);
  }
  if (request.limit) {
    terms.push_back(static_cast<int>(request.limit->kind));
    terms.push_back(request.limit->per_s);
    terms.push_back(request.limit->age.count());
  }
  return ToBytes(
      json::array({kTag, request.serial, request.server, std::move(terms)}));
}

Result<PermitRequest> DecodePermitRequest(std::string_view bytes) {
  return DecodeCbor<PermitRequest>(
      bytes, [](const json& document) -> Result<PermitRequest> {
        const json& terms = document.at(3);
        PermitRequest request;
        request.serial = document.at(1).get<std::uint64_t>();
        request.server = document.at(2).get<std::uint32_t>();
        request.rate = {terms.at(0).get<double>(), terms.at(1).get<double>()};
        if (!IsPlausible(request.rate)) {
          return MakeFailure(ResultCode::kFrameMalformed,
                             "the rate of permits is out of range");
        }
        if (terms.size() > 2) {
          const int purpose = terms.at(2).get<int>();
          if (purpose < 0 ||
              purpose > static_cast<int>(PermitPurpose::kEndIsolation)) {
            return MakeFailure(ResultCode::kFrameMalformed,
                               "the purpose of the permit is unknown");
          }
          request.purpose = static_cast<PermitPurpose>(purpose);
        }
        // Hosts of earlier versions do not send these.
        if (terms.size() > 3) {
          request.start_time_ms = terms.at(3).get<std::int64_t>();
        }
        if (terms.size() > 4) {
          BOOST_OUTCOME_TRY(limit, DecodeLimit(terms));
          request.limit = limit;
        }
        return request;
      });
}

std::string EncodePermitReply(const PermitReply& reply) {
  return ToBytes(
      json::array({kTag, reply.serial, reply.granted, reply.wait.count()}));
}

Result<PermitReply> DecodePermitReply(std::string_view bytes) {
  return DecodeCbor<PermitReply>(bytes, [](const json& document) {
    return PermitReply{document.at(1).get<std::uint64_t>(),
                       document.at(2).get<bool>(),
                       Duration(document.at(3).get<Duration::rep>())};
  });
}

}  // namespace toucanhollow
