#include "traffic/unusable_values.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"

namespace toucanhollow {
namespace {

// Not the beginning of any JSON.
constexpr std::string_view kSummaryPrefix = "unused value of ";

}  // namespace

std::string SummarizeValue(std::string_view value, std::string_view detail) {
  std::string summary(kSummaryPrefix);
  summary += std::to_string(value.size()) + " bytes, hash " +
             std::to_string(HashText(value)) + ": ";
  summary += detail.substr(0, kMaxUnusedValueBytes - summary.size());
  return summary;
}

bool IsValueSummary(std::string_view value) {
  return value.size() <= kMaxUnusedValueBytes &&
         value.starts_with(kSummaryPrefix);
}

std::size_t ReduceUnusedValues(std::vector<KeyedRecord>& records,
                               const RecordRules& rules) {
  std::size_t replaced = 0;
  for (KeyedRecord& record : records) {
    if (!record.value) {
      continue;
    }
    const ValueReading reading = rules.read_value(record.key, *record.value);
    record.unusable = reading.use == ValueUse::kNone;
    if (reading.use != ValueUse::kWhole &&
        record.value->size() > kMaxUnusedValueBytes) {
      record.known_order = rules.order(record.key, *record.value);
      record.value = SummarizeValue(*record.value, reading.detail);
      ++replaced;
    }
  }
  return replaced;
}

std::size_t AppendPage(std::vector<KeyedRecord>& records,
                       std::vector<KeyedRecord> page) {
  auto unusable = static_cast<std::size_t>(
      std::ranges::count_if(records, &KeyedRecord::unusable));
  const std::size_t left_out =
      std::erase_if(page, [&unusable](const KeyedRecord& record) {
        return record.unusable && ++unusable > kMaxUnusableRecords;
      });
  std::ranges::move(page, std::back_inserter(records));
  return left_out;
}

}  // namespace toucanhollow
