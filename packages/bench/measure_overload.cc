#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "overload/fair_queue.h"

namespace toucanhollow {
namespace {

constexpr int kQueuedPerAccount = 4;

void MeasureFairQueue(int accounts) {
  FairQueue queue;
  queue.parameters.total_limit = accounts * (kQueuedPerAccount + 1);
  TimePoint now{Seconds(1)};
  const auto enqueue = [&](std::int64_t number) {
    QueuedRequest request;
    request.request = {"entry-1.17." + std::to_string(number)};
    request.account = {"account-" + std::to_string(number % accounts)};
    queue = Enqueue(std::move(queue), std::move(request), now).queue;
  };
  for (int i = 0; i < accounts * kQueuedPerAccount; ++i) {
    enqueue(i);
  }
  const double us = MeasureCallUs([&](std::int64_t call) {
    now += Duration(400);
    enqueue(call);
    queue = Dequeue(std::move(queue), now).queue;
  });
  ReportMeasurement("enqueue_dequeue_us", accounts, us, "us");
}

}  // namespace

void MeasureOverload() {
  for (const int accounts : {10, 33, 100, 330, 1000}) {
    MeasureFairQueue(accounts);
  }
}

}  // namespace toucanhollow
