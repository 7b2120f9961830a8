// FaultLog: what the soak did to the system under test, one JSON object a line,
// with the wall-clock time that the processes' logs have too.
#ifndef SOAK_FAULT_LOG_H_
#define SOAK_FAULT_LOG_H_

#include <fstream>
#include <string>

#include <nlohmann/json.hpp>

namespace toucanhollow {

// Seconds since the Unix epoch, to the millisecond.
double WallSeconds();

class FaultLog {
 public:
  explicit FaultLog(const std::string& file) : out(file) {}
  // `entry` is an object.
  void Note(nlohmann::json entry);

 private:
  std::ofstream out;
};

}  // namespace toucanhollow

#endif  // SOAK_FAULT_LOG_H_
