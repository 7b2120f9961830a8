// The interface between the expert-map tasks and the engines of the platform:
// functions that translate paths and formats and make no decisions.
#ifndef MAP_TASK_ENGINE_CODEC_H_
#define MAP_TASK_ENGINE_CODEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "base/store_position.h"
#include "http_client/http_call.h"
#include "map_change/rank_report.h"
#include "traffic/server_limit.h"

namespace toucanhollow {

// How often a rank's requests chose each expert since the rank started.
struct RankCounts {
  std::int64_t epoch = 0;
  StepNumber step = 0;
  // By set of layers, then by expert.
  std::vector<std::vector<double>> chosen;
};

// The experts that a rank holds.
struct RankExperts {
  GroupMapVersion version = 0;
  std::vector<std::vector<int>> by_set;
};

// The partitions of the topic that the store assigned to a member of the
// coordinators' consumer group.
struct MemberAssignment {
  // Increases with each change of the membership of the consumer group.
  std::int64_t generation = 0;
  std::vector<std::int64_t> partitions;
};

struct EngineMapCodec {
  std::string report_path;
  std::string counts_path;
  std::string experts_path;
  std::string order_path;
  // All decode functions fail with kEngineAnswerMalformed. `server` is the id
  // of the rank's server.
  Result<RankReport> (*decode_report)(const std::string& server,
                                      const std::string& body);
  // `sets` is the number of sets of layers.
  Result<RankCounts> (*decode_counts)(const std::string& body, int sets);
  Result<RankExperts> (*decode_experts)(const std::string& body);
  // What the headers of any answer of an engine say of its limit.
  LimitField (*read_limit)(const HttpHeaders& headers);
  // Returns the body of an order; `map` is used by kPrepare, `fence` is the
  // fencing token.
  std::string (*encode_order)(const RankOrder& order,
                              const GroupMap& map,
                              std::int64_t fence);
  // The era that an answer of the store names. Fails with kRecordMalformed.
  Result<StoreEra> (*decode_era)(const HttpHeaders& headers);
  // Returns the call that joins the coordinators' consumer group or renews the
  // membership.
  HttpCall (*join_call)(const Address& store,
                        const std::string& member,
                        std::int64_t generation,
                        Duration time_to_live);
  HttpCall (*leave_call)(const Address& store, const std::string& member);
  Result<MemberAssignment> (*decode_assignment)(const std::string& body);
};

}  // namespace toucanhollow

#endif  // MAP_TASK_ENGINE_CODEC_H_
