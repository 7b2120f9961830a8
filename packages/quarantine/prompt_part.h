// PartId: identifies a part of a prompt within a service.
#ifndef QUARANTINE_PROMPT_PART_H_
#define QUARANTINE_PROMPT_PART_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/name.h"

namespace toucanhollow {

// A hash of the service and of the part's id, which is a string of the caller.
struct PartId {
  std::uint64_t value = 0;

  bool operator==(const PartId&) const = default;
  auto operator<=>(const PartId&) const = default;
};

// Parts of one request that are considered: all that a header of 16,384 bytes
// holds with ids as long as the platform's. Beyond, the first ones are not, as
// most requests share them.
inline constexpr std::size_t kMaxPartsPerRequest = 1536;

// A caller cannot choose an id whose hash is that of another caller's part:
// the hash is taken from SHA-256.
PartId IdentifyPart(const ServiceName& service, std::string_view id);

// The parts of a request, in the order of their ids and each once. Of more than
// kMaxPartsPerRequest the last ones.
std::vector<PartId> IdentifyParts(const ServiceName& service,
                                  const std::vector<std::string>& ids);

// The ids of a request's parts as its caller wrote them, joined by commas,
// which none of them contains.
std::string JoinPartNames(const std::vector<std::string>& ids);
std::vector<std::string> SplitPartNames(std::string_view joined);

// 16 hexadecimal digits.
std::string FormatPartId(PartId part);

}  // namespace toucanhollow

#endif  // QUARANTINE_PROMPT_PART_H_
