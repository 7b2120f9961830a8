// The requests of a coordinator to a rank, sent through the agent beside its
// engine, and the replies.
#ifndef MAP_TASK_RANK_MESSAGE_H_
#define MAP_TASK_RANK_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "map_change/rank_report.h"
#include "map_task/engine_codec.h"

namespace toucanhollow {

enum class RankRequestKind {
  kReport,
  kChoices,  // the experts chosen since the agent's last reading
  kExperts,  // the experts that the rank holds
  kOrder,    // execute an order, then report its effect
};

struct RankRequest {
  RankRequestKind kind = RankRequestKind::kReport;
  // Sets of layers, for kChoices.
  int sets = 0;
  // For kOrder; `fence` is the fencing token.
  RankOrder order = {};
  std::int64_t fence = 0;
  // For kPrepare orders; shared by the requests to all ranks.
  std::shared_ptr<const GroupMap> map = nullptr;
};

// How often each expert was chosen, by set of layers.
using ChoiceTable = std::vector<std::vector<double>>;

struct RankReply {
  // The engine's HTTP status; 0 if it did not answer.
  int status = 0;
  // Why the request failed, for logs.
  std::string detail = {};
  // The engine's machine refused the connection: no engine runs there.
  bool engine_down = false;
  std::optional<RankReport> report = std::nullopt;
  std::optional<ChoiceTable> choices = std::nullopt;
  std::optional<RankExperts> experts = std::nullopt;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_MESSAGE_H_
