#include "base/result_code_page.h"

#include "base/result_code.h"

namespace toucanhollow {

std::string ResultCodeTableMarkdown() {
  std::string page =
      "| code | name | HTTP status | meaning |\n|---|---|---|---|\n";
  for (const ResultCodeDescription& row : ResultCodeTable()) {
    const std::string status =
        row.http_status == 0 ? "-" : std::to_string(row.http_status);
    page.append("| ")
        .append(std::to_string(static_cast<int>(row.code)))
        .append(" | `")
        .append(row.name)
        .append("` | ")
        .append(status)
        .append(" | ")
        .append(row.meaning)
        .append(" |\n");
  }
  return page;
}

}  // namespace toucanhollow
