// HTTP format of the host list: GET /hosts returns one line for each host,
// "<name>\t<address>\t<data centre>\t<role>\t<live|leaving>\n". Only this
// package encodes and decodes it.
#ifndef HOST_LIST_HOST_LIST_CODEC_H_
#define HOST_LIST_HOST_LIST_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "host_list/listed_host.h"

namespace toucanhollow {

std::string EncodeHostList(const std::vector<ListedHost>& hosts);
// Returns none if a line is malformed or the last line is truncated.
std::optional<std::vector<ListedHost>> DecodeHostList(std::string_view text);

}  // namespace toucanhollow

#endif  // HOST_LIST_HOST_LIST_CODEC_H_
