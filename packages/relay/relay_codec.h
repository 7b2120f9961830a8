// The interface between the relay and the platform that it runs on: plain
// functions that translate the platform's names and formats. They decide
// nothing.
#ifndef RELAY_RELAY_CODEC_H_
#define RELAY_RELAY_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "http_client/http_call.h"
#include "http_stream/message_head.h"
#include "traffic/keyed_mirror.h"
#include "traffic/known_server.h"
#include "traffic/traffic_config.h"

namespace toucanhollow {

// What a caller says of its request.
struct RequestFacts {
  std::string request_id;
  std::optional<Duration> deadline;  // from the arrival on
  // The client account's key; empty if the request carries none.
  std::string account_key;
  std::optional<std::int64_t> last_event_id;
  int prompt_tokens = 0;
  int max_answer_tokens = 0;

  bool operator==(const RequestFacts&) const = default;
};

// What the relay tells a server beside the caller's own headers.
struct ServerRequestFacts {
  std::string server_id;
  Duration deadline{0};
  AccountName account;  // empty if none
  std::optional<std::int64_t> resume_after;
  int priority = 0;  // 0 first

  bool operator==(const ServerRequestFacts&) const = default;
};

// What a server says in its answer.
struct ResponseFacts {
  std::string request_id;
  // True if the server states that it did not run the request.
  bool not_run = false;
  // True if the answer carries the server's mark of origin.
  bool sealed = false;
  // True if the body is encoded, which no server of the platform does.
  bool encoded = false;

  bool operator==(const ResponseFacts&) const = default;
};

enum class KeyedTopic { kOperator, kServers };

enum class OperatorKeyKind { kTraffic, kEvacuation, kOther };

struct OperatorKey {
  OperatorKeyKind kind = OperatorKeyKind::kOther;
  DataCentreName data_centre;  // of an evacuation

  bool operator==(const OperatorKey&) const = default;
};

// A page of the newest records of a topic.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool has_more = false;
  LogOffset end = 0;
};

// Records read from an offset on.
struct LogPage {
  std::vector<KeyedRecord> records;
  // Offset after the last record of the page.
  LogOffset next = 0;
};

struct RelayCodec {
  // Fails with kMalformedRequest.
  Result<RequestFacts> (*read_request)(const HttpHeaders& headers);
  // The headers that go to the server.
  HttpHeaders (*server_headers)(const HttpHeaders& caller_headers,
                                const ServerRequestFacts& facts);
  ResponseFacts (*read_response)(const ResponseHead& head);
  // The headers that go to the caller.
  HttpHeaders (*caller_headers)(const HttpHeaders& server_headers);
  // The headers of an answer of the relay's own.
  HttpHeaders (*own_headers)(const std::string& request_id,
                             std::optional<Duration> retry_after);

  HttpCall (*newest_call)(const Address& store,
                          KeyedTopic topic,
                          const std::string& after);
  Result<NewestPage> (*decode_newest)(const std::string& body);
  HttpCall (*read_call)(const Address& store,
                        KeyedTopic topic,
                        LogOffset from,
                        Duration wait);
  // `from` is the offset that was asked for.
  Result<LogPage> (*decode_read)(const std::string& body, LogOffset from);

  OperatorKey (*decode_operator_key)(const std::string& key);
  // Fails with kRecordMalformed, kRecordFieldMissing or kRecordFieldInvalid.
  Result<TrafficConfig> (*decode_traffic)(const std::string& value);
  Result<ListedServer> (*decode_server)(const std::string& key,
                                        const std::string& value);
};

}  // namespace toucanhollow

#endif  // RELAY_RELAY_CODEC_H_
