// Prints the configuration that the log holds.
#ifndef CTL_SHOW_CONFIG_H_
#define CTL_SHOW_CONFIG_H_

#include <string>

#include "config/config_fold.h"

namespace toucanhollow {

// A line for each subject whose "<kind>/<name>" begins with `prefix`: revision,
// schema, whether the latest content is in force, and the content. Undecided
// records follow their subject.
std::string ShowConfig(const ConfigState& state, const std::string& prefix);

}  // namespace toucanhollow

#endif  // CTL_SHOW_CONFIG_H_
