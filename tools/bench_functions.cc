// Measures the decision functions at increasing sizes, as CSV on standard
// output.
#include <functional>
#include <map>
#include <string>

#include <gflags/gflags.h>

#include "bench/measure_parts.h"

DEFINE_string(part,
              "",
              "name of the only part to measure; empty for all parts");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::map<std::string, std::function<void()>> parts = {
      {"admission", toucanhollow::MeasureAdmission},
      {"claims", toucanhollow::MeasureClaims},
      {"config", toucanhollow::MeasureConfig},
      {"links", toucanhollow::MeasureLinks},
      {"maps", toucanhollow::MeasureMaps},
      {"overload", toucanhollow::MeasureOverload},
      {"routing", toucanhollow::MeasureRouting},
      {"timeline", toucanhollow::MeasureTimeline},
      {"wire", toucanhollow::MeasureWire}};
  for (const auto& [name, measure] : parts) {
    if (FLAGS_part.empty() || FLAGS_part == name) {
      measure();
    }
  }
  return 0;
}
