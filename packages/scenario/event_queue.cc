#include "scenario/event_queue.h"

namespace toucanhollow {

EventQueue::EventQueue(std::uint64_t seed) : random(seed) {}

void EventQueue::After(Duration delay, std::function<void()> callback) {
  this->events.emplace(std::pair{this->now + delay, this->Draw()},
                       std::move(callback));
}

void EventQueue::RunUntil(TimePoint end) {
  while (!this->events.empty() && this->events.begin()->first.first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->now = event.key().first;
    event.mapped()();
  }
  this->now = end;
}

// SplitMix64: the same sequence on every platform, unlike the distributions
// of <random>.
std::uint64_t EventQueue::Draw() {
  this->random += 0x9e3779b97f4a7c15;
  std::uint64_t mixed = this->random;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

Duration EventQueue::DrawDuration(Duration low, Duration high) {
  const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + Duration(static_cast<Duration::rep>(this->Draw() % span));
}

}  // namespace toucanhollow
