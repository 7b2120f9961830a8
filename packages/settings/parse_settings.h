// Parses and validates a whole INI settings file before the process opens any
// socket.
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
  // Present only if `mistakes` is empty.
  std::optional<Settings> settings;
  // Every mistake in the settings, with code kSettingsInvalid and a detail that
  // names section, key, value and remedy; or a single kSettingsUnreadable.
  std::vector<Failure> mistakes;
};

// Parses the text of an INI file. Unknown sections and keys are reported as
// mistakes.
SettingsReport ParseSettings(std::string_view ini_text);

// Reads and parses the file. Reports kSettingsUnreadable if it cannot be
// opened.
SettingsReport LoadSettings(const std::string& path);

// Returns a Markdown table of every key, for docs/settings.md.
std::string SettingsTable();

}  // namespace toucanhollow

#endif  // SETTINGS_PARSE_SETTINGS_H_
