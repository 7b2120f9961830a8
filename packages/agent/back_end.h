// The engine or service behind an agent, as a set of functions.
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

struct BackEndEnd {
  enum class Kind {
    kComplete,  // all pieces below `count` were given
    kNotRun,    // certainly not run
    kUnknown,   // may have run; no whole answer came
  };
  Kind kind = Kind::kUnknown;
  std::uint64_t count = 0;
  int status = 200;
  std::string content_type;
  std::string finish_reason;
  // kAnswered if whole.
  Failure failure{ResultCode::kAnswered, ""};
};

// Called from the loop, never from inside `start`.
struct BackEndEvents {
  std::function<void(std::uint64_t index, std::string_view text)> piece;
  // Once, but not after `cancel`.
  std::function<void(const BackEndEnd& end)> ended;
};

struct BackEnd {
  std::function<void(const Dispatch& dispatch, BackEndEvents events)> start;
  // Stops the work if the back end can.
  std::function<void(const DispatchId& dispatch_id)> cancel;
};

}  // namespace toucanhollow

#endif  // AGENT_BACK_END_H_
