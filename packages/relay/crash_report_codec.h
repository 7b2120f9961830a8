// Encodes what entry hosts tell each other of crashes of servers, in CBOR.
#ifndef RELAY_CRASH_REPORT_CODEC_H_
#define RELAY_CRASH_REPORT_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "quarantine/quarantine_state.h"

namespace toucanhollow {

// True if the datagram begins as a crash report.
bool IsCrashReport(std::string_view bytes);

// A report with many candidates takes several datagrams, each of which is a
// report of its own.
std::vector<std::string> EncodeCrashReport(const CrashReport& report);
// Fails with kFrameMalformed.
Result<CrashReport> DecodeCrashReport(std::string_view bytes);

}  // namespace toucanhollow

#endif  // RELAY_CRASH_REPORT_CODEC_H_
