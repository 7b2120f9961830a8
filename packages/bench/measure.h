// Measurement of processor time and memory of the deciding functions.
#ifndef BENCH_MEASURE_H_
#define BENCH_MEASURE_H_

#include <cstdint>
#include <functional>
#include <string_view>

namespace toucanhollow {

// Processor time of one call in microseconds. Calls `work` with a rising call
// number, in rounds of at least 20 ms; the fastest of 5 rounds counts, since
// other load of the machine only adds time.
double MeasureCallUs(const std::function<void(std::int64_t call)>& work);

// Processor time of one run of `work` in microseconds.
double MeasureOnceUs(const std::function<void()>& work);

// Bytes that are allocated on the heap now.
std::int64_t HeapBytes();

// Prints "measure,size,value,unit" to standard output and progress to standard
// error.
void ReportPoint(std::string_view measure,
                 std::int64_t size,
                 double value,
                 std::string_view unit);

}  // namespace toucanhollow

#endif  // BENCH_MEASURE_H_
