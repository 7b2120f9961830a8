// Numbered result codes, shown to callers and operators and in logs. The table
// in docs/result-codes.md is checked against DescribeResultCode by a test.
#ifndef BASE_RESULT_CODE_H_
#define BASE_RESULT_CODE_H_

#include <span>
#include <string_view>

namespace toucanhollow {

enum class ResultCode : int {
  // 1000-1099: answered.
  kAnswered = 1000,
  // 1100-1199: refused; the request certainly did not run.
  kMalformedRequest = 1100,
  kUnknownAccount = 1101,
  kUnknownService = 1102,
  kNoEndpointAvailable = 1103,
  kDeadlineTooShort = 1104,
  kOverloaded = 1105,
  kAccountShareExceeded = 1106,
  kLogUnavailable = 1107,
  kKeyExpired = 1108,
  kKeyMalformed = 1109,
  kKeyInFuture = 1110,
  kLeaving = 1111,
  kDataCentreOut = 1112,
  kStaleIncarnation = 1113,
  kDuplicateDispatch = 1114,
  kEndpointFull = 1115,
  kHeaderTooLarge = 1116,
  kBodyTooLarge = 1117,
  kNotReady = 1118,
  kCallerTimeout = 1119,
  kDispatchVoided = 1120,
  kKeyInProgress = 1121,
  kAccountNotServed = 1122,
  kKeyConflict = 1123,
  kUnknownPath = 1124,
  kPromptQuarantined = 1125,
  // 1200-1299: outcome unknown.
  kOutcomeUnknown = 1200,
  kAnswerTruncated = 1201,
  kKeyOutcomeUnknown = 1202,
  kDeadlineExceededAfterSend = 1203,
  // 1300-1399: ended by the caller.
  kCancelledByCaller = 1300,
  // 2000-2999: records.
  kRecordMalformed = 2000,
  kRecordFieldMissing = 2001,
  kRecordFieldInvalid = 2002,
  kRecordSchemaUnknown = 2003,
  kRecordRevisionConflict = 2004,
  kRecordUnknownField = 2005,
  kRecordDuplicate = 2006,
  kRecordUndecided = 2007,
  // 3000-3999: settings.
  kSettingsUnreadable = 3000,
  kSettingsInvalid = 3001,
  // 4000-4999: links between processes of the load balancer.
  kFrameMalformed = 4000,
  kProtocolVersionMismatch = 4001,
  kLinkQueueFull = 4002,
  kLinkClosed = 4003,
  kLinkUnauthorized = 4004,
  // 5000-5999: outside systems.
  kLogAppendUnconfirmed = 5000,
  kLogUnreachable = 5001,
  kLogOffsetDropped = 5002,
  kEngineUnreachable = 5100,
  kEngineAnswerMalformed = 5101,
  kEngineRefused = 5102,
  kServiceUnreachable = 5200,
  kWeightStoreLimited = 5300,
  // 6000-6999: expert maps.
  kMapChangeOpen = 6000,
  kMapBaseVersionStale = 6001,
  kMapChangeAborted = 6002,
  kMapLogTooSlow = 6003,
  kMapEngineMismatch = 6004,
};

struct ResultCodeDescription {
  ResultCode code;
  std::string_view name;
  // HTTP status of the response to a caller; 0 if callers never see the code.
  int http_status;
  std::string_view meaning;

  bool operator==(const ResultCodeDescription&) const = default;
};

// All codes in ascending order.
std::span<const ResultCodeDescription> ResultCodeTable();

// Returns the description of a code. Aborts if the table lacks the code.
const ResultCodeDescription& DescribeResultCode(ResultCode code);

// True for the codes that state that the request did not run and never will.
constexpr bool IsCertainlyNotRun(ResultCode code) {
  const int number = static_cast<int>(code);
  return number >= 1100 && number < 1200;
}

}  // namespace toucanhollow

#endif  // BASE_RESULT_CODE_H_
