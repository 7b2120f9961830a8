// RelayCodec: the functions that translate between the relay's types and the
// names and formats of the platform. They make no routing decisions.
#ifndef RELAY_RELAY_CODEC_H_
#define RELAY_RELAY_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/store_position.h"
#include "http_client/http_call.h"
#include "http_stream/message_head.h"
#include "relay/quarantine_record.h"
#include "traffic/keyed_mirror.h"
#include "traffic/known_server.h"
#include "traffic/server_leaving.h"
#include "traffic/server_limit.h"
#include "traffic/server_quiet.h"
#include "traffic/traffic_config.h"

namespace toucanhollow {

// What a caller's headers state about its request.
struct RequestMetadata {
  std::string request_id;
  std::optional<Duration> deadline;  // since the arrival
  // The client account's key; empty if the request carries none.
  std::string account_key;
  std::optional<std::int64_t> last_event_id;
  int prompt_tokens = 0;
  int max_answer_tokens = 0;
  // True if servers with other weights than the caller expects are to answer
  // 421 (Misdirected Request).
  bool expects_weight_version = false;
  // Ids of the parts of the prompt that other requests may have in common with
  // this one, in order.
  std::vector<std::string> shared_prompt_parts;

  bool operator==(const RequestMetadata&) const = default;
};

// What the relay adds to the caller's headers for the server.
struct ServerRequestMetadata {
  std::string server_id;
  Duration deadline{0};
  AccountName account;  // empty if none
  std::optional<std::int64_t> resume_after;
  int priority = 0;  // 0 is the highest

  bool operator==(const ServerRequestMetadata&) const = default;
};

// What the head of a server's response states.
struct ResponseMetadata {
  std::string request_id;
  // True if the server states that it did not run the request.
  bool not_run = false;
  // Id of the server that caused a refusal; empty if the response names none.
  std::string server_at_fault;
  // True if the response carries the server's seal, which marks its origin.
  bool sealed = false;
  // True if the body has a content encoding, which no server of the platform
  // applies.
  bool encoded = false;
  LimitField limit;
  LeavingField leaving = LeavingField::kAbsent;
  // Named with a refusal only.
  QuietField quiet;

  bool operator==(const ResponseMetadata&) const = default;
};

enum class KeyedTopic { kOperator, kServers, kStatus };

enum class OperatorKeyKind { kTraffic, kEvacuation, kPromptRule, kOther };

struct OperatorKey {
  OperatorKeyKind kind = OperatorKeyKind::kOther;
  DataCentreName data_centre;  // kEvacuation only

  bool operator==(const OperatorKey&) const = default;
};

// A page of the newest records of the keys of a topic.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool has_more = false;
  StorePosition end;
};

// A page of a topic's log.
struct LogPage {
  std::vector<KeyedRecord> records;
  // Position after the last record of the page.
  StorePosition next;
  // Position after the last record of the topic.
  StorePosition end;
  // Records of the page that have no key or whose key is truncated. No reader
  // can use them, so the log is read on behind them.
  int unreadable_records = 0;
};

struct RelayCodec {
  // Fails with kMalformedRequest.
  Result<RequestMetadata> (*read_request)(const HttpHeaders& headers);
  // Returns the headers of the request to the server.
  HttpHeaders (*server_headers)(const HttpHeaders& caller_headers,
                                const ServerRequestMetadata& metadata);
  ResponseMetadata (*read_response)(const ResponseHead& head);
  // Returns the headers of the response to the caller.
  HttpHeaders (*caller_headers)(const HttpHeaders& server_headers);
  // Returns the headers of a response that the relay itself makes.
  HttpHeaders (*relay_response_headers)(const std::string& request_id,
                                        std::optional<Duration> retry_after);

  // The era that an answer of the store names. Fails with kRecordMalformed.
  Result<StoreEra> (*decode_era)(const HttpHeaders& headers);
  // `after` is the last key of the page before, or empty for the first page.
  HttpCall (*newest_call)(const Address& store,
                          KeyedTopic topic,
                          const std::string& after);
  // `era` is the one that the answer names.
  Result<NewestPage> (*decode_newest)(const std::string& body, StoreEra era);
  // The store answers when there are records from `from` on, or after `wait`.
  HttpCall (*read_call)(const Address& store,
                        KeyedTopic topic,
                        StorePosition from,
                        Duration wait);
  // `from` is the position that was requested; the answer names its era.
  Result<LogPage> (*decode_read)(const std::string& body, StorePosition from);
  // The order that the writer of a value gives it, whatever its position; empty
  // if none.
  std::optional<RecordOrder> (*decode_order)(KeyedTopic topic,
                                             const std::string& key,
                                             const std::string& value);

  // Writes a record of a keyed topic. The store may execute a call that it does
  // not answer.
  HttpCall (*append_call)(const Address& store,
                          KeyedTopic topic,
                          const std::string& key,
                          const std::string& value);

  OperatorKey (*decode_operator_key)(const std::string& key);
  // Fails with kRecordMalformed, kRecordFieldMissing or kRecordFieldInvalid.
  Result<TrafficConfig> (*decode_traffic)(const std::string& value);
  Result<ListedServer> (*decode_server)(const std::string& key,
                                        const std::string& value);
  Result<PromptRuleRecord> (*decode_prompt_rule)(const std::string& value);

  // The key of a quarantine's record begins with this.
  std::string quarantine_key_prefix;
  std::string (*encode_quarantine)(const QuarantineRecord& record);
  // Fails with kRecordMalformed, kRecordFieldMissing or kRecordFieldInvalid.
  Result<QuarantineRecord> (*decode_quarantine)(const std::string& value);
};

}  // namespace toucanhollow

#endif  // RELAY_RELAY_CODEC_H_
