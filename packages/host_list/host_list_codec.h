// The host list's HTTP format: GET /hosts answers one line for each host,
// "<name>\t<address>\t<data centre>\t<role>\t<live|leaving>\n". Only this
// package knows it.
#ifndef HOST_LIST_HOST_LIST_CODEC_H_
#define HOST_LIST_HOST_LIST_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "host_list/listed_host.h"

namespace toucanhollow {

std::string EncodeHostList(const std::vector<ListedHost>& hosts);
// Nothing if a line cannot be read or the last line is cut.
std::optional<std::vector<ListedHost>> DecodeHostList(std::string_view text);

}  // namespace toucanhollow

#endif  // HOST_LIST_HOST_LIST_CODEC_H_
