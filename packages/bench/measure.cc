#include "bench/measure.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <iostream>
#include <limits>

namespace toucanhollow {
namespace {

constexpr int kRounds = 5;
constexpr double kRoundUs = 20'000;

double ThreadUs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace

double MeasureCallUs(const std::function<void(std::int64_t call)>& work) {
  double best = std::numeric_limits<double>::max();
  std::int64_t call = 0;
  std::int64_t batch = 1;
  for (int round = 0; round < kRounds; ++round) {
    const double start = ThreadUs();
    std::int64_t calls = 0;
    double spent = 0;
    while (spent < kRoundUs) {
      for (std::int64_t i = 0; i < batch; ++i) {
        work(call++);
      }
      calls += batch;
      spent = ThreadUs() - start;
      // Reading the clock must not count beside short calls.
      if (round == 0 && spent < kRoundUs / 100) {
        batch *= 2;
      }
    }
    best = std::min(best, spent / static_cast<double>(calls));
  }
  return best;
}

double MeasureOnceUs(const std::function<void()>& work) {
  const double start = ThreadUs();
  work();
  return ThreadUs() - start;
}

std::int64_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

void ReportPoint(std::string_view measure,
                 std::int64_t size,
                 double value,
                 std::string_view unit) {
  std::cout << measure << "," << size << "," << value << "," << unit
            << std::endl;
  std::cerr << "bench " << measure << " at " << size << ": " << value << " "
            << unit << std::endl;
}

}  // namespace toucanhollow
