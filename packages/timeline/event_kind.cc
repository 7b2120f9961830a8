#include "timeline/event_kind.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/check.h"

namespace toucanhollow {
namespace {

using Row = std::pair<EventKind, std::string_view>;

constexpr auto kNames = std::to_array<Row>({
    {EventKind::kRequestAccepted, "request_accepted"},
    {EventKind::kQueued, "queued"},
    {EventKind::kDispatched, "dispatched"},
    {EventKind::kDispatchReceived, "dispatch_received"},
    {EventKind::kClaimed, "claimed"},
    {EventKind::kRunStarted, "run_started"},
    {EventKind::kFirstToken, "first_token"},
    {EventKind::kRunEnded, "run_ended"},
    {EventKind::kResumed, "resumed"},
    {EventKind::kRetried, "retried"},
    {EventKind::kHedged, "hedged"},
    {EventKind::kVoided, "voided"},
    {EventKind::kReleased, "released"},
    {EventKind::kAnswered, "answered"},
    {EventKind::kRefused, "refused"},
    {EventKind::kOutcomeUnknown, "outcome_unknown"},
    {EventKind::kCancelled, "cancelled"},
    {EventKind::kAdmissionChanged, "admission_changed"},
    {EventKind::kEndpointCold, "endpoint_cold"},
    {EventKind::kMapProposed, "map_proposed"},
    {EventKind::kMapStaged, "map_staged"},
    {EventKind::kMapConfirmed, "map_confirmed"},
    {EventKind::kMapCommitted, "map_committed"},
    {EventKind::kMapAborted, "map_aborted"},
    {EventKind::kMapActivated, "map_activated"},
    {EventKind::kRecordSeen, "record_seen"},
    {EventKind::kRecordInForce, "record_in_force"},
    {EventKind::kRecordVoid, "record_void"},
    {EventKind::kRecordRefreshed, "record_refreshed"},
    {EventKind::kSnapshotMerged, "snapshot_merged"},
    {EventKind::kJoined, "joined"},
    {EventKind::kLeaving, "leaving"},
    {EventKind::kLeft, "left"},
    {EventKind::kLinkUp, "link_up"},
    {EventKind::kLinkDown, "link_down"},
    {EventKind::kSuspected, "suspected"},
    {EventKind::kCleared, "cleared"},
    {EventKind::kLogDown, "log_down"},
    {EventKind::kLogUp, "log_up"},
});

}  // namespace

std::string_view EventKindName(EventKind kind) {
  const auto* row = std::ranges::find(kNames, kind, &Row::first);
  InternalCheck(row != kNames.end(), "event kind is listed in the name table");
  return row->second;
}

std::optional<EventKind> ParseEventKind(std::string_view name) {
  const auto* row = std::ranges::find(kNames, name, &Row::second);
  if (row == kNames.end()) {
    return std::nullopt;
  }
  return row->first;
}

}  // namespace toucanhollow
