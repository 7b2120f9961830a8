// Measures the deciding functions at growing sizes.
#include <functional>
#include <map>
#include <string>

#include <gflags/gflags.h>

#include "bench/measure_parts.h"

DEFINE_string(part, "", "measure one part only; empty for all");

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
