// The kinds of events in the timeline.
#ifndef TIMELINE_EVENT_KIND_H_
#define TIMELINE_EVENT_KIND_H_

#include <optional>
#include <string_view>

namespace toucanhollow {

enum class EventKind {
  // Lifecycle of a request.
  kRequestAccepted,
  kQueued,
  kDispatched,
  kDispatchReceived,
  kClaimed,
  kRunStarted,
  kFirstToken,
  kRunEnded,
  kResumed,
  kRetried,
  kHedged,
  kVoided,
  kReleased,
  kAnswered,
  kRefused,
  kOutcomeUnknown,
  kCancelled,
  // Admission.
  kAdmissionChanged,
  kEndpointCold,
  // Expert maps.
  kMapProposed,
  kMapStaged,
  kMapConfirmed,
  kMapCommitted,
  kMapAborted,
  kMapActivated,
  // Configuration.
  kRecordSeen,
  kRecordInForce,
  kRecordVoid,
  kRecordRefreshed,
  kSnapshotMerged,
  // Processes and links.
  kJoined,
  kLeaving,
  kLeft,
  kLinkUp,
  kLinkDown,
  kSuspected,
  kCleared,
  kLogDown,
  kLogUp,
};

// Returns the name in snake_case, such as "request_accepted".
std::string_view EventKindName(EventKind kind);

// Returns the kind with this name, or std::nullopt if this version does not
// know the name.
std::optional<EventKind> ParseEventKind(std::string_view name);

}  // namespace toucanhollow

#endif  // TIMELINE_EVENT_KIND_H_
