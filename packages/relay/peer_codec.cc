#include "relay/peer_codec.h"

#include <nlohmann/json.hpp>

#include "cbor/read_cbor.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

std::string ToBytes(const json& document) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

constexpr char kAllChanges[] = "changes";
constexpr char kAllKeys[] = "keys";

// Hosts of earlier versions read the first three elements.
json ToJson(const KeyedRecord& record) {
  json entry{record.key, record.position.number,
             record.value ? json(*record.value) : json(nullptr)};
  if (record.position.era != StoreEra{} || record.known_order) {
    entry.push_back(record.position.era.value);
  }
  if (record.known_order) {
    entry.push_back(record.known_order->major);
    entry.push_back(record.known_order->minor);
  }
  return entry;
}

json ToJson(const RecordBatch& batch) {
  json records = json::array();
  for (const KeyedRecord& record : batch.records) {
    records.push_back(ToJson(record));
  }
  json document{{"end", batch.end.number}, {"records", std::move(records)}};
  if (batch.end.era != StoreEra{}) {
    document["era"] = batch.end.era.value;
  }
  if (batch.coverage == BatchCoverage::kChanges) {
    document["covers"] = kAllChanges;
    document["from"] = batch.from.number;
  } else if (batch.coverage == BatchCoverage::kAllKeys) {
    document["covers"] = kAllKeys;
  }
  return document;
}

Result<StoreEra> DecodePeerEra(const json& value) {
  const auto era = value.get<std::int64_t>();
  if (era < 0 || era > kMaxStoreEra) {
    return MakeFailure(ResultCode::kFrameMalformed,
                       "the era of a position is out of range");
  }
  return StoreEra{era};
}

Result<KeyedRecord> DecodeRecord(const json& entry) {
  KeyedRecord record;
  record.key = entry.at(0).get<std::string>();
  record.position.number = entry.at(1).get<std::int64_t>();
  if (!entry.at(2).is_null()) {
    record.value = entry.at(2).get<std::string>();
  }
  if (entry.size() > 3) {
    BOOST_OUTCOME_TRY(era, DecodePeerEra(entry.at(3)));
    record.position.era = era;
  }
  if (entry.size() > 4) {
    record.known_order = RecordOrder{entry.at(4).get<std::int64_t>(),
                                     entry.at(5).get<std::int64_t>()};
  }
  return record;
}

Result<RecordBatch> DecodeRecordBatch(const json& document) {
  RecordBatch batch;
  StoreEra era;
  if (document.contains("era")) {
    BOOST_OUTCOME_TRY(named, DecodePeerEra(document.at("era")));
    era = named;
  }
  const std::string covers = document.value("covers", "");
  if (covers == kAllChanges) {
    batch.coverage = BatchCoverage::kChanges;
    batch.from = {era, document.at("from").get<std::int64_t>()};
  } else if (covers == kAllKeys) {
    batch.coverage = BatchCoverage::kAllKeys;
  }
  batch.end = {era, document.at("end").get<std::int64_t>()};
  for (const json& entry : document.at("records")) {
    BOOST_OUTCOME_TRY(record, DecodeRecord(entry));
    batch.records.push_back(std::move(record));
  }
  return batch;
}

json ToBinaries(const std::vector<std::string>& texts) {
  json binaries = json::array();
  for (const std::string& text : texts) {
    binaries.push_back(
        json::binary(std::vector<std::uint8_t>(text.begin(), text.end())));
  }
  return binaries;
}

Result<std::vector<ReportedLimit>> DecodeLimits(const json& entries) {
  std::vector<ReportedLimit> limits;
  for (const json& entry : entries) {
    ReportedLimit reported;
    reported.server = entry.at(0).get<std::uint32_t>();
    reported.start_time_ms = entry.at(1).get<std::int64_t>();
    const std::optional<ServerLimitKind> kind =
        ToLimitKind(entry.at(2).get<int>());
    reported.limit.per_s = entry.at(3).get<double>();
    reported.limit.age = Duration(entry.at(4).get<Duration::rep>());
    if (!kind || !IsPlausible(reported.limit)) {
      return MakeFailure(ResultCode::kFrameMalformed,
                         "the limit of a server is out of range");
    }
    reported.limit.kind = *kind;
    limits.push_back(reported);
  }
  return limits;
}

template <typename Value, typename Decode>
Result<Value> DecodeCbor(std::string_view bytes, Decode decode) {
  BOOST_OUTCOME_TRY(document, ReadCbor(bytes));
  try {
    return decode(document);
  } catch (const json::exception& error) {
    return MakeFailure(ResultCode::kFrameMalformed, error.what());
  }
}

}  // namespace

std::string EncodeLoadReport(const HostLoadReport& report) {
  json loads = json::array();
  for (const ServerLoad& load : report.loads) {
    loads.push_back(
        {load.server, load.outstanding, load.pending_prompt_tokens});
  }
  json limits = json::array();
  for (const ReportedLimit& reported : report.limits) {
    limits.push_back({reported.server, reported.start_time_ms,
                      static_cast<int>(reported.limit.kind),
                      reported.limit.per_s, reported.limit.age.count()});
  }
  return ToBytes(
      json::array({report.incarnation, report.sequence, std::move(loads),
                   report.slow_servers, report.quarantine_digest,
                   report.issuer_generation.number, std::move(limits),
                   report.issuer_generation.era.value}));
}

Result<HostLoadReport> DecodeLoadReport(std::string_view bytes) {
  return DecodeCbor<HostLoadReport>(
      bytes, [](const json& document) -> Result<HostLoadReport> {
        HostLoadReport report;
        report.incarnation = document.at(0).get<std::uint64_t>();
        report.sequence = document.at(1).get<std::uint64_t>();
        for (const json& load : document.at(2)) {
          report.loads.push_back({load.at(0).get<std::uint32_t>(),
                                  load.at(1).get<int>(),
                                  load.at(2).get<int>()});
          if (report.loads.back().outstanding < 0 ||
              report.loads.back().pending_prompt_tokens < 0) {
            return MakeFailure(ResultCode::kFrameMalformed,
                               "the load of a server is negative");
          }
        }
        report.slow_servers = document.at(3).get<std::vector<std::uint32_t>>();
        // Hosts of earlier versions do not send these.
        if (document.size() > 4) {
          report.quarantine_digest = document.at(4).get<std::uint32_t>();
        }
        if (document.size() > 5) {
          report.issuer_generation.number = document.at(5).get<std::int64_t>();
        }
        if (document.size() > 6) {
          BOOST_OUTCOME_TRY(limits, DecodeLimits(document.at(6)));
          report.limits = std::move(limits);
        }
        if (document.size() > 7) {
          BOOST_OUTCOME_TRY(era, DecodePeerEra(document.at(7)));
          report.issuer_generation.era = era;
        }
        return report;
      });
}

std::string EncodePeerViewReply(const PeerViewReply& reply) {
  return ToBytes({{"operator", ToJson(reply.operator_records)},
                  {"servers", ToJson(reply.server_records)},
                  {"age_us", reply.age ? json(reply.age->count()) : json()},
                  {"hosts", reply.hosts},
                  {"crashes", ToBinaries(reply.crash_reports)},
                  {"knows_crashes", reply.knows_crashes}});
}

Result<PeerViewReply> DecodePeerViewReply(std::string_view bytes) {
  return DecodeCbor<PeerViewReply>(
      bytes, [](const json& document) -> Result<PeerViewReply> {
        PeerViewReply reply;
        BOOST_OUTCOME_TRY(operator_records,
                          DecodeRecordBatch(document.at("operator")));
        reply.operator_records = std::move(operator_records);
        BOOST_OUTCOME_TRY(server_records,
                          DecodeRecordBatch(document.at("servers")));
        reply.server_records = std::move(server_records);
        if (!document.at("age_us").is_null()) {
          reply.age = Duration(document.at("age_us").get<Duration::rep>());
        }
        reply.hosts = document.at("hosts").get<std::vector<std::string>>();
        // Hosts of earlier versions do not send them.
        if (document.contains("crashes")) {
          for (const json& bytes : document.at("crashes")) {
            const json::binary_t& binary = bytes.get_binary();
            reply.crash_reports.emplace_back(binary.begin(), binary.end());
          }
        }
        reply.knows_crashes = document.value("knows_crashes", false);
        return reply;
      });
}

}  // namespace toucanhollow
