// State shared by all tasks of one process.
#ifndef SESSION_PROCESS_CONTEXT_H_
#define SESSION_PROCESS_CONTEXT_H_

#include <fstream>
#include <random>
#include <string_view>

#include "base/incarnation.h"
#include "base/name.h"
#include "event_loop/event_loop.h"
#include "metrics/metrics.h"
#include "settings/settings.h"
#include "timeline/event_ring.h"

namespace toucanhollow {

struct ProcessContext {
  ProcessContext(EventLoop& event_loop, Settings process_settings);

  // Records an event in the timeline, and in the timeline file if the settings
  // name one.
  void Record(Event event);

  EventLoop& loop;
  Settings settings;
  Incarnation incarnation;
  Metrics metrics;
  EventRing timeline;
  std::ofstream timeline_file;
  // For jitter and for random choices among endpoints.
  std::mt19937_64 random;
};

}  // namespace toucanhollow

#endif  // SESSION_PROCESS_CONTEXT_H_
