// Formats the configuration that was read from the log.
#ifndef CTL_FORMAT_CONFIG_H_
#define CTL_FORMAT_CONFIG_H_

#include <string>

#include "config/config_fold.h"

namespace toucanhollow {

// A line for each subject whose "<kind>/<name>" begins with `prefix`: revision,
// schema, whether the latest content is in force, and the content. Undecided
// records follow their subject.
std::string FormatConfig(const ConfigState& state, const std::string& prefix);

}  // namespace toucanhollow

#endif  // CTL_FORMAT_CONFIG_H_
