// Entries of the log's stream `maps` to and from payload text.
#ifndef LOG_CODEC_MAP_CODEC_H_
#define LOG_CODEC_MAP_CODEC_H_

#include <string>

#include "base/log_entry.h"
#include "expert_map/map_record.h"

namespace toucanhollow {

// The payload for the group and record of the entry.
std::string EncodeMapEntry(const MapEntry& entry);

// Never throws. An entry that cannot be read becomes an UnreadableMapRecord at
// its offset, so that it does not look like a gap.
MapEntry DecodeMapEntry(const LogEntry& entry);

}  // namespace toucanhollow

#endif  // LOG_CODEC_MAP_CODEC_H_
