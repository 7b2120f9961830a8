#include "quarantine/prompt_part.h"

#include <algorithm>
#include <array>

#include <openssl/sha.h>

namespace toucanhollow {

PartId IdentifyPart(const ServiceName& service, std::string_view id) {
  std::string text = service.value;
  // Neither names of services nor ids contain it.
  text += '\0';
  text += id;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  PartId part;
  for (std::size_t i = 0; i < sizeof(part.value); ++i) {
    part.value = part.value << 8 | digest[i];
  }
  return part;
}

std::vector<PartId> IdentifyParts(const ServiceName& service,
                                  const std::vector<std::string>& ids) {
  std::vector<PartId> parts;
  const std::size_t count = std::min(ids.size(), kMaxPartsPerRequest);
  parts.reserve(count);
  for (std::size_t i = ids.size() - count; i < ids.size(); ++i) {
    parts.push_back(IdentifyPart(service, ids[i]));
  }
  std::ranges::sort(parts);
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

std::string JoinPartNames(const std::vector<std::string>& ids) {
  std::string joined;
  for (const std::string& id : ids) {
    joined += (joined.empty() ? "" : ",") + id;
  }
  joined.shrink_to_fit();
  return joined;
}

std::vector<std::string> SplitPartNames(std::string_view joined) {
  std::vector<std::string> ids;
  while (!joined.empty()) {
    const std::size_t comma = std::min(joined.find(','), joined.size());
    ids.emplace_back(joined.substr(0, comma));
    joined.remove_prefix(std::min(comma + 1, joined.size()));
  }
  return ids;
}

std::string FormatPartId(PartId part) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kHex[part.value >> shift & 0xf];
  }
  return text;
}

}  // namespace toucanhollow
