#include "host_list/host_list_codec.h"

#include <array>

namespace toucanhollow {

std::string EncodeHostList(const std::vector<ListedHost>& hosts) {
  std::string text;
  for (const ListedHost& host : hosts) {
    for (const std::string* field :
         {&host.name, &host.address, &host.data_centre, &host.role}) {
      text.append(*field).append("\t");
    }
    text.append(host.leaving ? "leaving\n" : "live\n");
  }
  return text;
}

std::optional<std::vector<ListedHost>> DecodeHostList(std::string_view text) {
  std::vector<ListedHost> hosts;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    std::array<std::string, 4> fields;
    for (std::string& field : fields) {
      const std::size_t tab = line.find('\t');
      if (tab == std::string_view::npos || tab == 0) {
        return std::nullopt;
      }
      field = line.substr(0, tab);
      line.remove_prefix(tab + 1);
    }
    if (line != "live" && line != "leaving") {
      return std::nullopt;
    }
    hosts.push_back(
        {fields[0], fields[1], fields[2], fields[3], line == "leaving"});
  }
  return hosts;
}

}  // namespace toucanhollow
