#include "traffic/read_timing.h"

#include <algorithm>

namespace toucanhollow {
namespace {

constexpr Duration kMinTooLargePause = Milliseconds(100);
constexpr Duration kMaxTooLargePause = Seconds(5);
constexpr int kMaxDoublings = 6;

}  // namespace

ReadTiming PlanReads(Duration contact_bound, Duration max_read_delay) {
  const Duration available =
      std::max(contact_bound - kAnswerTimeout - kReconnectTime, Duration(0));
  ReadTiming timing;
  timing.read_delay = std::min(max_read_delay, available * 3 / 4);
  timing.long_poll_wait = available - timing.read_delay;
  return timing;
}

Duration FindDetectionTime(const ReadTiming& timing) {
  return timing.read_delay + timing.long_poll_wait + kAnswerTimeout;
}

Duration FindTooLargePause(int earlier) {
  return std::min(kMinTooLargePause * (1 << std::min(earlier, kMaxDoublings)),
                  kMaxTooLargePause);
}

}  // namespace toucanhollow
