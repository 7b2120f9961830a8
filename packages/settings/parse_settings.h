// Reads and validates an INI settings file as a whole, before any socket is
// opened.
#ifndef SETTINGS_PARSE_SETTINGS_H_
#define SETTINGS_PARSE_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "settings/settings.h"

namespace toucanhollow {

struct SettingsReport {
  // Present only if there are no mistakes.
  std::optional<Settings> settings;
  // Every mistake, each naming section, key, value and remedy, with code
  // kSettingsInvalid, or one kSettingsUnreadable.
  std::vector<Failure> mistakes;
};

// Parses the text of an INI file. Unknown sections and keys are mistakes.
SettingsReport ParseSettings(std::string_view ini_text);

// Reads the file and parses it.
SettingsReport LoadSettings(const std::string& path);

// A Markdown table of every key, for docs/settings.md.
std::string SettingsTable();

}  // namespace toucanhollow

#endif  // SETTINGS_PARSE_SETTINGS_H_
