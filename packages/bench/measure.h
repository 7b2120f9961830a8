// Measures the CPU time and the heap memory of the decision functions.
#ifndef BENCH_MEASURE_H_
#define BENCH_MEASURE_H_

#include <cstdint>
#include <functional>
#include <string_view>

namespace toucanhollow {

// Returns the CPU time of one call of `work` in microseconds. `work` gets the
// number of the call, from 0, and is called in 5 rounds of at least 20 ms each.
// The fastest round counts, since other load on the machine only adds time.
double MeasureCallUs(const std::function<void(std::int64_t call)>& work);

// Runs `work` once and returns its CPU time in microseconds.
double MeasureOnceUs(const std::function<void()>& work);

// Returns the number of bytes that are allocated on the heap at present.
std::int64_t AllocatedHeapBytes();

// Prints one result as "measure,size,value,unit" to standard output and as a
// sentence for people to standard error.
void ReportMeasurement(std::string_view measure,
                       std::int64_t size,
                       double value,
                       std::string_view unit);

}  // namespace toucanhollow

#endif  // BENCH_MEASURE_H_
