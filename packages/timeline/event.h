// One event of the timeline.
#ifndef TIMELINE_EVENT_H_
#define TIMELINE_EVENT_H_

#include <cstdint>
#include <string>

#include "base/incarnation.h"
#include "base/name.h"
#include "timeline/event_kind.h"
#include "timeline/hybrid_time.h"

namespace toucanhollow {

struct Event {
  HybridTime time;
  ProcessName process;
  Incarnation incarnation;
  // Numbers the events of one incarnation from 1 without gaps, so that a
  // reader can detect events that a full ring has dropped.
  std::uint64_t sequence = 0;
  EventKind kind = EventKind::kJoined;
  // What the event refers to; empty fields do not apply.
  RequestId request;
  DispatchId dispatch;
  EndpointName endpoint;
  std::string subject;  // record subject, map change or peer
  int code = 0;         // ResultCode, 0 for none
  std::string detail;   // one short sentence

  bool operator==(const Event&) const = default;
};

}  // namespace toucanhollow

#endif  // TIMELINE_EVENT_H_
