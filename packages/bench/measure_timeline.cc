#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "timeline/event_ring.h"

namespace toucanhollow {
namespace {

Event MakeRequestEvent(std::int64_t number) {
  Event event;
  event.kind = EventKind::kDispatched;
  event.request = {"amherst-entry-1.1700000000000000." +
                   std::to_string(number)};
  event.dispatch = {event.request.value + ".1"};
  event.endpoint = {"amherst-draft-1"};
  return event;
}

void MeasureEventRing(std::size_t capacity) {
  const std::int64_t before = AllocatedHeapBytes();
  EventRing ring({"amherst-entry-1"}, Incarnation{1}, capacity);
  const WallTime now{Seconds(1'700'000'000)};
  for (std::size_t i = 0; i < capacity; ++i) {
    ring.Record(MakeRequestEvent(static_cast<std::int64_t>(i)), now);
  }
  const auto size = static_cast<std::int64_t>(capacity);
  ReportMeasurement("timeline_bytes", size,
                    static_cast<double>(AllocatedHeapBytes() - before),
                    "bytes");
  const double us = MeasureCallUs(
      [&](std::int64_t call) { ring.Record(MakeRequestEvent(call), now); });
  ReportMeasurement("timeline_record_us", size, us, "us");
}

}  // namespace

void MeasureTimeline() {
  for (const std::size_t capacity : {8'192, 16'384, 32'768, 65'536}) {
    MeasureEventRing(capacity);
  }
}

}  // namespace toucanhollow
