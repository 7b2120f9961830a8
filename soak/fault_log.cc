#include "soak/fault_log.h"

#include <chrono>
#include <cmath>

#include "event_loop/event_loop.h"

namespace toucanhollow {

double WallSeconds() {
  const auto since_epoch = EventLoop::WallNow().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  return static_cast<double>(milliseconds.count()) / 1000;
}

void FaultLog::Note(nlohmann::json entry) {
  entry["time"] = WallSeconds();
  this->out << entry.dump() << std::endl;
}

}  // namespace toucanhollow
