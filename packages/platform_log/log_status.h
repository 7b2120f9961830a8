// Status and entries of one stream of the platform log.
#ifndef PLATFORM_LOG_LOG_STATUS_H_
#define PLATFORM_LOG_LOG_STATUS_H_

#include <vector>

#include "base/log_entry.h"
#include "base/time.h"

namespace toucanhollow {

struct LogStatus {
  // Oldest offset that can be read; equals next_offset if there are no entries.
  LogOffset first_offset = 1;
  // Offset that the next appended entry will have.
  LogOffset next_offset = 1;
  // Age up to which entries are retained; zero means without limit.
  Duration retention{};

  bool operator==(const LogStatus&) const = default;
};

struct LogBatch {
  LogStatus status;
  // In ascending order of offset, without gaps.
  std::vector<LogEntry> entries;

  bool operator==(const LogBatch&) const = default;
};

}  // namespace toucanhollow

#endif  // PLATFORM_LOG_LOG_STATUS_H_
