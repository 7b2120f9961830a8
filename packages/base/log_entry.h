// One entry of the platform's append-only log.
#ifndef BASE_LOG_ENTRY_H_
#define BASE_LOG_ENTRY_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace toucanhollow {

// Position in one stream of the log. The first entry has offset 1; 0 means
// "before the first entry".
using LogOffset = std::int64_t;

struct LogEntry {
  LogOffset offset = 0;
  // Time at which the log stored the entry; set by the log, not by the writer.
  WallTime time;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

}  // namespace toucanhollow

#endif  // BASE_LOG_ENTRY_H_
