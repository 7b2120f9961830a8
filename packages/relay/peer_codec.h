// Encodes what entry hosts tell each other: load reports in datagrams and
// records of the store over HTTP, both in CBOR.
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

// The records of one topic from an offset on.
struct SharedRecords {
  std::vector<KeyedRecord> records;
  LogOffset end = 0;

  bool operator==(const SharedRecords&) const = default;
};

struct BeliefReply {
  SharedRecords operator_records;
  SharedRecords server_records;
  // Since the sender last heard the store; empty if it never did.
  std::optional<Duration> age;
  // IP addresses of entry hosts that the sender has heard lately.
  std::vector<std::string> hosts;

  bool operator==(const BeliefReply&) const = default;
};

std::string EncodeBeliefReply(const BeliefReply& reply);
// Fails with kFrameMalformed.
Result<BeliefReply> DecodeBeliefReply(std::string_view bytes);

}  // namespace toucanhollow

#endif  // RELAY_PEER_CODEC_H_
