// Encodes and decodes entries of the log stream `maps`.
#ifndef LOG_CODEC_MAP_CODEC_H_
#define LOG_CODEC_MAP_CODEC_H_

#include <string>

#include "base/log_entry.h"
#include "expert_map/map_record.h"

namespace toucanhollow {

// Returns the payload, which has the group and record of the entry.
std::string EncodeMapEntry(const MapEntry& entry);

// Decodes one entry. An entry that cannot be decoded becomes an
// UnreadableMapRecord at its offset, so that it is not mistaken for a gap.
// Never throws.
MapEntry DecodeMapEntry(const LogEntry& entry);

}  // namespace toucanhollow

#endif  // LOG_CODEC_MAP_CODEC_H_
