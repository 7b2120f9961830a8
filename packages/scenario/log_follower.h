// Reads one stream of the log by long poll for one run of a process, and
// appends with a time limit.
#ifndef SCENARIO_LOG_FOLLOWER_H_
#define SCENARIO_LOG_FOLLOWER_H_

#include <functional>
#include <string>
#include <vector>

#include "scenario/world.h"

namespace toucanhollow {

// Calls `read` with every answer until the process run ends. `next` gives the
// first offset not yet read.
void FollowLog(World& world,
               const std::string& process,
               Incarnation incarnation,
               const std::string& stream,
               const std::function<LogOffset()>& next,
               const std::function<void(const LogRead&)>& read);

enum class AppendAnswer { kAcknowledged, kRefused, kLost };

// `answered` is called once: with the log's answer, or with kLost when none
// came in time.
void AppendToLog(World& world,
                 const std::string& process,
                 Incarnation incarnation,
                 const std::string& stream,
                 const std::vector<std::string>& payloads,
                 const std::function<void(AppendAnswer, LogOffset)>& answered);

}  // namespace toucanhollow

#endif  // SCENARIO_LOG_FOLLOWER_H_
