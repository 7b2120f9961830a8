#include "session/process_context.h"

#include <utility>

namespace toucanhollow {
namespace {

Incarnation StartedNow() {
  return Incarnation{static_cast<std::uint64_t>(
      EventLoop::WallNow().time_since_epoch().count())};
}

}  // namespace

ProcessContext::ProcessContext(EventLoop& event_loop, Settings process_settings)
    : loop(event_loop),
      settings(std::move(process_settings)),
      incarnation(StartedNow()),
      timeline(this->settings.process,
               this->incarnation,
               this->settings.timeline_events),
      random(std::random_device{}()) {}

void ProcessContext::Record(Event event) {
  this->timeline.Record(std::move(event), EventLoop::WallNow());
}

}  // namespace toucanhollow
