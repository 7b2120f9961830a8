#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "wire/codec.h"

namespace toucanhollow {
namespace {

void MeasureMessage(std::string_view name, const Message& message) {
  const HybridTime clock{1'700'000'000'000'000, 3};
  const std::string frame = EncodeMessage(message, clock);
  ReportMeasurement(std::string(name) + "_frame_bytes", 1,
                    static_cast<double>(frame.size()), "bytes");
  const double us = MeasureCallUs([&](std::int64_t) {
    if (!DecodeMessage(EncodeMessage(message, clock))) {
      std::abort();
    }
  });
  ReportMeasurement(std::string(name) + "_encode_decode_us", 1, us, "us");
}

void MeasureDispatch(std::size_t body_bytes) {
  Dispatch dispatch;
  dispatch.dispatch_id = {"amherst-entry-1.1700000000000000.12345.1"};
  dispatch.request_id = {"amherst-entry-1.1700000000000000.12345"};
  dispatch.account = {"account-1"};
  dispatch.service = {"drafting"};
  dispatch.body = std::string(body_bytes, 'p');
  const Message message = dispatch;
  const double us = MeasureCallUs([&](std::int64_t) {
    if (!DecodeMessage(EncodeMessage(message))) {
      std::abort();
    }
  });
  ReportMeasurement("dispatch_encode_decode_us",
                    static_cast<std::int64_t>(body_bytes), us, "us");
}

}  // namespace

void MeasureWire() {
  Heartbeat heartbeat;
  heartbeat.time = WallTime(Seconds(1'700'000'000));
  heartbeat.config_offset = 123'456;
  heartbeat.limit = 32;
  heartbeat.in_flight = 20;
  heartbeat.step_time = Milliseconds(25);
  MeasureMessage("heartbeat", heartbeat);
  MeasureMessage("grant", Grant{12, Seconds(3)});
  MeasureMessage(
      "token",
      Token{{"amherst-entry-1.1700000000000000.12345.1"}, 77, "word "});
  for (const std::size_t bytes : {1'000, 4'000, 16'000, 64'000}) {
    MeasureDispatch(bytes);
  }
}

}  // namespace toucanhollow
