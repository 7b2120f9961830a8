// Interface of an agent to its engine or service, as a set of functions.
#ifndef AGENT_BACK_END_H_
#define AGENT_BACK_END_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/name.h"
#include "base/result.h"
#include "wire/message.h"

namespace toucanhollow {

struct BackEndOutcome {
  enum class Kind {
    kComplete,  // all pieces with an index below `count` were delivered
    kNotRun,    // certainly not run
    kUnknown,   // may have run; no complete answer arrived
  };
  Kind kind = Kind::kUnknown;
  std::uint64_t count = 0;
  int status = 200;
  std::string content_type;
  std::string finish_reason;
  // kAnswered if the answer is complete.
  Failure failure{ResultCode::kAnswered, ""};
};

// The callbacks run from the event loop, never from within `start`.
struct BackEndCallbacks {
  std::function<void(std::uint64_t index, std::string_view text)> on_piece;
  // Called exactly once, but never after `cancel`.
  std::function<void(const BackEndOutcome& outcome)> on_end;
};

struct BackEnd {
  std::function<void(const Dispatch& dispatch, BackEndCallbacks callbacks)>
      start;
  // Stops the work if the back end supports it.
  std::function<void(const DispatchId& dispatch_id)> cancel;
};

}  // namespace toucanhollow

#endif  // AGENT_BACK_END_H_
