#include "session/process_context.h"

#include <utility>

#include "event_codec/event_codec.h"
#include "log_text/log.h"

namespace toucanhollow {
namespace {

Incarnation MakeIncarnation() {
  return Incarnation{static_cast<std::uint64_t>(
      EventLoop::WallNow().time_since_epoch().count())};
}

}  // namespace

ProcessContext::ProcessContext(EventLoop& event_loop, Settings process_settings)
    : loop(event_loop),
      settings(std::move(process_settings)),
      incarnation(MakeIncarnation()),
      timeline(this->settings.process,
               this->incarnation,
               this->settings.timeline_events),
      random(std::random_device{}()) {
  if (!this->settings.timeline_file.empty()) {
    this->timeline_file.open(this->settings.timeline_file, std::ios::app);
    if (!this->timeline_file.is_open()) {
      Log(Severity::kWarning, "timeline",
          "cannot open " + this->settings.timeline_file +
              "; timeline events are kept in memory only");
    }
  }
}

void ProcessContext::Record(Event event) {
  const Event& recorded =
      this->timeline.Record(std::move(event), EventLoop::WallNow());
  if (this->timeline_file.is_open()) {
    this->timeline_file << EncodeEvent(recorded) << std::endl;
  }
}

}  // namespace toucanhollow
