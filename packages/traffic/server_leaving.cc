#include "traffic/server_leaving.h"

namespace toucanhollow {

std::optional<ServerLeaving> RecordLeaving(
    const std::optional<ServerLeaving>& belief,
    LeavingField field,
    TimePoint now) {
  if (belief || field != LeavingField::kLeaves) {
    return belief;
  }
  return ServerLeaving{now};
}

}  // namespace toucanhollow
