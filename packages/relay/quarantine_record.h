// QuarantineRecord: a quarantine as it is kept in the platform's store, where
// operators read it and hosts that start after a loss of all hosts find it.
#ifndef RELAY_QUARANTINE_RECORD_H_
#define RELAY_QUARANTINE_RECORD_H_

#include <string>
#include <vector>

#include "base/name.h"
#include "base/time.h"
#include "quarantine/quarantine_state.h"

namespace toucanhollow {

struct QuarantineRecord {
  ServiceName service;
  // Ids as callers write them; a request with all of them is refused.
  std::vector<std::string> parts;
  // The only account whose requests are refused, or kSeveralAccounts for all.
  AccountHash account = kSeveralAccounts;
  WallTime since;
  WallTime until;
  int term = 1;  // how many times in a row the parts have been convicted

  bool operator==(const QuarantineRecord&) const = default;
};

// An operator's rule on a part of prompts.
struct PromptRuleRecord {
  ServiceName service;
  std::string part;  // id as callers write it
  PartRule rule = PartRule::kBlock;

  bool operator==(const PromptRuleRecord&) const = default;
};

// Identifies the record of a quarantine: the same for the same parts.
std::string QuarantineKey(const std::vector<PartId>& parts);

// The record as if another host had told it.
CrashReport ToCrashReport(const QuarantineRecord& record, WallTime now);

}  // namespace toucanhollow

#endif  // RELAY_QUARANTINE_RECORD_H_
