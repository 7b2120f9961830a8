// The measurements, one function for each package of decision functions.
#ifndef BENCH_MEASURE_PARTS_H_
#define BENCH_MEASURE_PARTS_H_

namespace toucanhollow {

void MeasureAdmission();
void MeasureClaims();
void MeasureConfig();
void MeasureLinks();
void MeasureMaps();
void MeasureOverload();
void MeasureRouting();
void MeasureTimeline();
void MeasureWire();

}  // namespace toucanhollow

#endif  // BENCH_MEASURE_PARTS_H_
