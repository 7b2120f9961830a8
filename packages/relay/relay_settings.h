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
#include "traffic/permit_ledger.h"
#include "traffic/retry_allowance.h"

namespace toucanhollow {

struct RelaySettings {
  ProcessName process;
  DataCentreName data_centre;
  Address callers;
  Address readiness;
  Address control;                 // for other entry hosts
  std::uint16_t report_port = 0;   // UDP, load reports of entry hosts
  std::uint16_t metrics_port = 0;  // TCP, counters as text
  // UDP, requests to the rank agents of a model group.
  std::uint16_t rank_call_port = 0;
  // UDP, requests for permits to the rank agents.
  std::uint16_t permit_port = 0;
  Address store;
  int store_partitions = 1;    // of each topic
  std::vector<Address> seeds;  // control addresses of some entry hosts
  // Time after which a draining server must get no new request.
  Duration drain_bound = Seconds(2);
  // Once a host has had contact with the store for this long, the bounds apply
  // to it again.
  Duration contact_bound = Seconds(3);
  std::size_t max_descriptors = 1024;
  // Bytes that the process may use. The default is that of the platform's
  // smallest entry hosts.
  std::size_t memory_bytes = std::size_t{160} * 1024 * 1024;
  Duration grace = Seconds(8);  // SIGTERM to SIGKILL
  RetryBound retry;
  ColdBound cold;
  // In fields that have another value instead, and in entries of lists, which
  // are left out.
  std::vector<Failure> mistakes;

  bool operator==(const RelaySettings&) const = default;
};

// Parses an INI text. Fails with kSettingsInvalid; the detail names the field
// and the remedy. Unknown fields are ignored, because the platform may add
// some. A host runs without the exact value of a number of the sections limits,
// shutdown, retries, cold and bounds, of the partitions and of a seed: a number
// that is empty or cannot be read has its default, one out of range the nearest
// in it, and a seed that cannot be read is left out. All but the empty ones are
// listed in `mistakes`. `memory_mb` is used if the text has no
// limits.memory_mb; if it is empty too, that has its default.
Result<RelaySettings> ParseRelaySettings(const std::string& text,
                                         const std::string& memory_mb = "");

}  // namespace toucanhollow

#endif  // RELAY_RELAY_SETTINGS_H_
