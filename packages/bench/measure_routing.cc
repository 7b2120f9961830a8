#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "routing/choose_endpoint.h"
#include "routing/prefix_index.h"
#include "routing/routing_view.h"

namespace toucanhollow {
namespace {

EndpointName MakeEndpointName(std::int64_t number) {
  return {"endpoint-" + std::to_string(10'000 + number)};
}

LoadReport MakeReport(std::int64_t number) {
  LoadReport report;
  report.incarnation = Incarnation{1};
  report.limit = 32;
  report.full_limit = 32;
  report.load = static_cast<int>(number % 30);
  report.takes_work = true;
  report.step = Milliseconds(20 + number % 7);
  report.mean_service = Milliseconds(1000);
  return report;
}

void MeasureRoutingView(int endpoints) {
  const TimePoint now{Seconds(1)};
  const DataCentreName centre{"centre-1"};
  const std::int64_t before = AllocatedHeapBytes();
  RoutingView view;
  view = SetDataCentreView(std::move(view), centre, {Milliseconds(1), false});
  for (int i = 0; i < endpoints; ++i) {
    view = AddEndpoint(std::move(view), MakeEndpointName(i), centre);
    view = ApplyLoadReport(std::move(view), MakeEndpointName(i), MakeReport(i),
                           now);
  }
  ReportMeasurement("routing_view_bytes", endpoints,
                    static_cast<double>(AllocatedHeapBytes() - before),
                    "bytes");
  const RoutingParameters parameters;
  RoutingRequest request;
  request.prompt_tokens = 500;
  request.expected_output_tokens = 200;
  const double us = MeasureCallUs([&](std::int64_t call) {
    const double draw = static_cast<double>(call % 97) / 97.0;
    const RoutingDecision decision =
        ChooseEndpoint(view, parameters, request, draw, now);
    const EndpointName& name =
        view.endpoints[static_cast<std::size_t>(decision.endpoint)].name;
    view = RecordDispatchSent(std::move(view), EndpointName(name), now);
    view = RecordDispatchEnded(std::move(view), EndpointName(name));
  });
  ReportMeasurement("choose_endpoint_us", endpoints, us, "us");
  const double report_us = MeasureCallUs([&](std::int64_t call) {
    const std::int64_t number = call % endpoints;
    view = ApplyLoadReport(std::move(view), MakeEndpointName(number),
                           MakeReport(number + call), now);
  });
  ReportMeasurement("apply_load_report_us", endpoints, report_us, "us");
}

void MeasurePrefixIndex(std::int64_t blocks) {
  const TimePoint now{Seconds(1)};
  const std::int64_t before = AllocatedHeapBytes();
  PrefixIndex index;
  CacheEvent event;
  event.engine = Incarnation{1};
  const double us = MeasureOnceUs([&] {
    for (std::int64_t i = 0; i < blocks; ++i) {
      event.endpoint = MakeEndpointName(i % 24);
      event.sequence = static_cast<std::uint64_t>(i / 24 + 1);
      event.blocks = {static_cast<BlockHash>(i) * 0x9E3779B97F4A7C15ULL};
      index = ApplyCacheEvent(std::move(index), event, now);
    }
  });
  ReportMeasurement("prefix_index_bytes", blocks,
                    static_cast<double>(AllocatedHeapBytes() - before),
                    "bytes");
  ReportMeasurement("prefix_events_us", blocks, us, "us");
}

}  // namespace

void MeasureRouting() {
  for (const int endpoints : {8, 24, 72, 216, 648}) {
    MeasureRoutingView(endpoints);
  }
  for (const std::int64_t blocks :
       {25'000, 50'000, 100'000, 200'000, 400'000, 1'600'000}) {
    MeasurePrefixIndex(blocks);
  }
}

}  // namespace toucanhollow
