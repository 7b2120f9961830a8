#include "scenario/log_follower.h"

#include <memory>
#include <utility>

namespace toucanhollow {
namespace {

constexpr Duration kReadTimeout = Seconds(3);
constexpr Duration kAppendTimeout = Milliseconds(1500);

}  // namespace

void FollowLog(World& world,
               const std::string& process,
               Incarnation incarnation,
               const std::string& stream,
               const std::function<LogOffset()>& next,
               const std::function<void(const LogRead&)>& read) {
  world.InProcess(process, incarnation, [=, &world] {
    const auto answered = std::make_shared<bool>(false);
    const auto again = [=, &world] {
      FollowLog(world, process, incarnation, stream, next, read);
    };
    world.log.Read(process, stream, next(), [=, &world](const LogRead& result) {
      world.InProcess(process, incarnation, [=] {
        if (!std::exchange(*answered, true)) {
          read(result);
          again();
        }
      });
    });
    world.InProcessAfter(kReadTimeout, process, incarnation, [=] {
      if (!std::exchange(*answered, true)) {
        again();
      }
    });
  });
}

void AppendToLog(World& world,
                 const std::string& process,
                 Incarnation incarnation,
                 const std::string& stream,
                 const std::vector<std::string>& payloads,
                 const std::function<void(AppendAnswer, LogOffset)>& answered) {
  const auto done = std::make_shared<bool>(false);
  const auto answer = [=](AppendAnswer kind, LogOffset offset) {
    if (!std::exchange(*done, true)) {
      answered(kind, offset);
    }
  };
  world.InProcess(process, incarnation, [=, &world] {
    world.log.Append(process, stream, payloads, [=, &world](LogOffset offset) {
      world.InProcess(process, incarnation, [=] {
        answer(
            offset == 0 ? AppendAnswer::kRefused : AppendAnswer::kAcknowledged,
            offset);
      });
    });
  });
  world.InProcessAfter(kAppendTimeout, process, incarnation,
                       [=] { answer(AppendAnswer::kLost, 0); });
}

}  // namespace toucanhollow
