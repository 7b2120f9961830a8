// Reads a settings file that another process may be writing.
#ifndef SETTINGS_SETTINGS_FILE_H_
#define SETTINGS_SETTINGS_FILE_H_

#include <string>
#include <string_view>

#include "base/result.h"

namespace toucanhollow {

// Returns the text of the file. Fails with kSettingsUnreadable if it cannot be
// read.
Result<std::string> ReadSettingsFile(const std::string& path);

// True if the text does not end in the middle of a line, whose value would be
// taken for a shorter one.
bool HasWholeLastLine(std::string_view text);

}  // namespace toucanhollow

#endif  // SETTINGS_SETTINGS_FILE_H_
