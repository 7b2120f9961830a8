// Values of records that no host can use. Any writer may put them into a topic,
// in any number and size; what is kept of them is bounded.
#ifndef TRAFFIC_UNUSABLE_VALUES_H_
#define TRAFFIC_UNUSABLE_VALUES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "traffic/keyed_mirror.h"

namespace toucanhollow {

// A longer value that is not used is replaced by a summary, which is not longer
// than this.
inline constexpr std::size_t kMaxUnusedValueBytes = 256;

// Returns the length of the value, its hash and `detail`, why the value is not
// used. The summary names the value by its hash, and is no value that a host
// could use either.
std::string SummarizeValue(std::string_view value, std::string_view detail);
bool IsValueSummary(std::string_view value);

// Marks the records whose values no host can use, and replaces long values that
// are not used by summaries. The order of a replaced value is kept. Returns the
// number of replaced values.
std::size_t ReduceUnusedValues(std::vector<KeyedRecord>& records,
                               const RecordRules& rules);

// Appends the records of a page to those of the pages before it, with at most
// kMaxUnusableRecords that are marked as unusable. Returns the number of
// records that were left out.
std::size_t AppendPage(std::vector<KeyedRecord>& records,
                       std::vector<KeyedRecord> page);

}  // namespace toucanhollow

#endif  // TRAFFIC_UNUSABLE_VALUES_H_
