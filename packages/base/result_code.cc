#include "base/result_code.h"

#include <algorithm>
#include <array>

#include "base/check.h"

namespace toucanhollow {
namespace {

using enum ResultCode;

constexpr auto kDescriptions = std::to_array<ResultCodeDescription>({
    {kAnswered, "answered", 200, "The request ran and its answer is whole."},
    {kMalformedRequest, "malformed_request", 400,
     "The request could not be read; the detail names the field."},
    {kUnknownAccount, "unknown_account", 401,
     "The X-Client-Account header is missing or names no account."},
    {kUnknownService, "unknown_service", 404,
     "No model group or plain service of this name is configured."},
    {kNoEndpointAvailable, "no_endpoint_available", 503,
     "No endpoint in service can take the request now."},
    {kDeadlineTooShort, "deadline_too_short", 503,
     "The expected wait exceeds the remaining deadline."},
    {kOverloaded, "overloaded", 503, "The queue is full."},
    {kAccountShareExceeded, "account_share_exceeded", 429,
     "The account's queue is full; other accounts are still served."},
    {kLogUnavailable, "log_unavailable", 503,
     "The platform's log cannot record the claim that this call needs."},
    {kKeyExpired, "key_expired", 410,
     "The idempotency key is older than the key memory."},
    {kKeyMalformed, "key_malformed", 400,
     "The idempotency key is not <issue time in ms>-<token>."},
    {kKeyInFuture, "key_in_future", 400,
     "The idempotency key's issue time is too far ahead."},
    {kLeaving, "leaving", 503, "The endpoint is leaving."},
    {kDataCentreOut, "data_centre_out", 503,
     "The endpoint's data centre is out of service."},
    {kStaleIncarnation, "stale_incarnation", 503,
     "The dispatch was addressed to an earlier run of the endpoint agent."},
    {kDuplicateDispatch, "duplicate_dispatch", 503,
     "A dispatch with this identifier was received before."},
    {kEndpointFull, "endpoint_full", 503,
     "The endpoint cannot bear another request now."},
    {kHeaderTooLarge, "header_too_large", 431, "The header is too large."},
    {kBodyTooLarge, "body_too_large", 413, "The body is too large."},
    {kNotReady, "not_ready", 503, "The entry host is not ready to serve."},
    {kCallerTimeout, "caller_timeout", 408,
     "The caller did not send its request in time."},
    {kDispatchVoided, "dispatch_voided", 503,
     "The dispatch was voided in the log before any claim."},
    {kKeyInProgress, "key_in_progress", 409,
     "Another request with this key is running; this one was not run."},
    {kAccountNotServed, "account_not_served", 403,
     "No record lets this account use the service."},
    {kKeyConflict, "key_conflict", 422,
     "The key was used with another request; this one was not run."},
    {kUnknownPath, "unknown_path", 404, "The path is not served."},
    {kPromptQuarantined, "prompt_quarantined", 503,
     "A part of the prompt crashes servers; requests with it are refused for "
     "a time."},
    {kOutcomeUnknown, "outcome_unknown", 502,
     "The request was sent and its outcome is unknown."},
    {kAnswerTruncated, "answer_truncated", 502,
     "The answer stopped short and could not be resumed."},
    {kKeyOutcomeUnknown, "key_outcome_unknown", 409,
     "An earlier request with this key may have run; it is not run again."},
    {kDeadlineExceededAfterSend, "deadline_exceeded_after_send", 504,
     "The deadline passed after the request was sent."},
    {kCancelledByCaller, "cancelled_by_caller", 499,
     "The caller closed its connection."},
    {kRecordMalformed, "record_malformed", 0, "The record cannot be read."},
    {kRecordFieldMissing, "record_field_missing", 0,
     "A required field of the record is missing."},
    {kRecordFieldInvalid, "record_field_invalid", 0,
     "A field of the record has an invalid value."},
    {kRecordSchemaUnknown, "record_schema_unknown", 0,
     "The schema version is not known; the last good content stays."},
    {kRecordRevisionConflict, "record_revision_conflict", 0,
     "The expected revision is not the current one; the record is void."},
    {kRecordUnknownField, "record_unknown_field", 0,
     "The record has a field that this version does not know."},
    {kRecordDuplicate, "record_duplicate", 0,
     "A record with this change identifier was accepted before."},
    {kRecordUndecided, "record_undecided", 0,
     "The expected revision cannot be verified yet."},
    {kSettingsUnreadable, "settings_unreadable", 0,
     "The settings file cannot be read."},
    {kSettingsInvalid, "settings_invalid", 0,
     "Settings are invalid; each mistake is listed."},
    {kFrameMalformed, "frame_malformed", 0,
     "A frame between own processes could not be decoded."},
    {kProtocolVersionMismatch, "protocol_version_mismatch", 0,
     "The peer shares no protocol version."},
    {kLinkQueueFull, "link_queue_full", 0, "The link's queue is full."},
    {kLinkClosed, "link_closed", 0, "The link closed."},
    {kLinkUnauthorized, "link_unauthorized", 0,
     "The peer did not present the shared key."},
    {kLogAppendUnconfirmed, "log_append_unconfirmed", 0,
     "The append may have taken effect; its answer was lost."},
    {kLogUnreachable, "log_unreachable", 0, "The log cannot be reached."},
    {kLogOffsetDropped, "log_offset_dropped", 0,
     "The log no longer holds the offset asked for."},
    {kEngineUnreachable, "engine_unreachable", 0,
     "The engine cannot be reached."},
    {kEngineAnswerMalformed, "engine_answer_malformed", 0,
     "The engine's answer cannot be read."},
    {kEngineRefused, "engine_refused", 0, "The engine refused the request."},
    {kServiceUnreachable, "service_unreachable", 0,
     "The plain service cannot be reached."},
    {kWeightStoreLimited, "weight_store_limited", 0,
     "The weight store refused because of its rate limit."},
    {kMapChangeOpen, "map_change_open", 0,
     "Another map change is open; the proposal is void."},
    {kMapBaseVersionStale, "map_base_version_stale", 0,
     "The proposal's base version is not the current one."},
    {kMapChangeAborted, "map_change_aborted", 0, "The map change was aborted."},
    {kMapLogTooSlow, "map_log_too_slow", 0,
     "No map change is begun while the log is slow or down."},
    {kMapEngineMismatch, "map_engine_mismatch", 0,
     "The engine reports a map that the log does not explain."},
});

}  // namespace

std::span<const ResultCodeDescription> ResultCodeTable() {
  return kDescriptions;
}

const ResultCodeDescription& DescribeResultCode(ResultCode code) {
  const auto* found =
      std::ranges::find(kDescriptions, code, &ResultCodeDescription::code);
  InternalCheck(found != kDescriptions.end(),
                "result code is listed in the table");
  return *found;
}

}  // namespace toucanhollow
