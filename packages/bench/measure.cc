#include "bench/measure.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <iostream>
#include <limits>

namespace toucanhollow {
namespace {

constexpr int kRounds = 5;
constexpr double kMinRoundUs = 20'000;

double ThreadCpuTimeUs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace

double MeasureCallUs(const std::function<void(std::int64_t call)>& work) {
  double best_us = std::numeric_limits<double>::max();
  std::int64_t call = 0;
  std::int64_t batch = 1;
  for (int round = 0; round < kRounds; ++round) {
    const double start = ThreadCpuTimeUs();
    std::int64_t calls = 0;
    double elapsed_us = 0;
    while (elapsed_us < kMinRoundUs) {
      for (std::int64_t i = 0; i < batch; ++i) {
        work(call++);
      }
      calls += batch;
      elapsed_us = ThreadCpuTimeUs() - start;
      // Batches grow until the time to read the clock is negligible beside
      // them.
      if (round == 0 && elapsed_us < kMinRoundUs / 100) {
        batch *= 2;
      }
    }
    best_us = std::min(best_us, elapsed_us / static_cast<double>(calls));
  }
  return best_us;
}

double MeasureOnceUs(const std::function<void()>& work) {
  const double start = ThreadCpuTimeUs();
  work();
  return ThreadCpuTimeUs() - start;
}

std::int64_t AllocatedHeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

void ReportMeasurement(std::string_view measure,
                       std::int64_t size,
                       double value,
                       std::string_view unit) {
  std::cout << measure << "," << size << "," << value << "," << unit
            << std::endl;
  std::cerr << "bench " << measure << " at " << size << ": " << value << " "
            << unit << std::endl;
}

}  // namespace toucanhollow
