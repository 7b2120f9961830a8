#include "settings/settings_file.h"

#include <fstream>
#include <sstream>

namespace toucanhollow {

Result<std::string> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  // Inserting no characters counts as a failure of `text`.
  const bool is_empty = file.peek() == std::ifstream::traits_type::eof();
  if (!file.is_open() || file.bad() || (!is_empty && !(text << file.rdbuf()))) {
    return MakeFailure(ResultCode::kSettingsUnreadable,
                       path +
                           " cannot be read; pass a readable file with "
                           "--settings and check its permissions");
  }
  return text.str();
}

bool HasWholeLastLine(std::string_view text) {
  return text.empty() || text.back() == '\n';
}

}  // namespace toucanhollow
