// Encodes the messages between entry hosts in CBOR: load reports, which are
// sent in datagrams, and records of the store, which are fetched over HTTP.
#ifndef RELAY_PEER_CODEC_H_
#define RELAY_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "traffic/keyed_mirror.h"
#include "traffic/peer_load_table.h"

namespace toucanhollow {

std::string EncodeLoadReport(const HostLoadReport& report);
// Fails with kFrameMalformed.
Result<HostLoadReport> DecodeLoadReport(std::string_view bytes);

struct PeerViewReply {
  // Hosts of earlier versions do not tell the era, so that their positions are
  // of era 0, or whether removals are missing; their batches then cover
  // kSomeRecords.
  RecordBatch operator_records;
  RecordBatch server_records;
  // Time since the sender's configuration was last confirmed as the newest;
  // empty if it never was.
  std::optional<Duration> age;
  // IP addresses of the entry hosts from which the sender has received messages
  // lately.
  std::vector<std::string> hosts;
  // What the sender knows of crashes, as by EncodeCrashReport.
  std::vector<std::string> crash_reports = {};
  // True if the sender has learned what was known before its start. False for
  // hosts of earlier versions.
  bool knows_crashes = false;

  bool operator==(const PeerViewReply&) const = default;
};

std::string EncodePeerViewReply(const PeerViewReply& reply);
// Fails with kFrameMalformed.
Result<PeerViewReply> DecodePeerViewReply(std::string_view bytes);

}  // namespace toucanhollow

#endif  // RELAY_PEER_CODEC_H_
