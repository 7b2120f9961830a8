// Settings of an entry host that relays requests on the users' platform.
#ifndef RELAY_RELAY_SETTINGS_H_
#define RELAY_RELAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/name.h"
#include "base/result.h"
#include "base/time.h"
#include "traffic/cold_start_rate.h"
#include "traffic/retry_allowance.h"

namespace toucanhollow {

struct RelaySettings {
  ProcessName process;
  DataCentreName data_centre;
  Address callers;
  Address readiness;
  Address control;                 // other entry hosts
  std::uint16_t report_port = 0;   // UDP, load reports of entry hosts
  std::uint16_t metrics_port = 0;  // TCP, counters as text
  // UDP, requests to the agents of a model group.
  std::uint16_t rank_call_port = 0;
  Address store;
  int store_partitions = 1;    // that the store gives a topic
  std::vector<Address> seeds;  // control addresses of some entry hosts
  // A leaving server must get nothing new this long after its notice.
  Duration drain_bound = Seconds(2);
  // A host that had contact this long is held to the bounds again.
  Duration contact_bound = Seconds(3);
  std::size_t max_descriptors = 1024;
  Duration grace = Seconds(8);  // SIGTERM to SIGKILL
  RetryBound retry;
  ColdBound cold;

  bool operator==(const RelaySettings&) const = default;
};

// Reads an INI text. Fails with kSettingsInvalid; the detail names the field
// and the remedy. Unknown fields are ignored, because the platform may add
// some.
Result<RelaySettings> ParseRelaySettings(const std::string& text);

// Reads a file. Fails with kSettingsUnreadable or kSettingsInvalid.
Result<RelaySettings> LoadRelaySettings(const std::string& file);

}  // namespace toucanhollow

#endif  // RELAY_RELAY_SETTINGS_H_
