#include "config_follow/config_task.h"

#include <set>
#include <utility>

#include "config/plan_refresh.h"
#include "log_codec/config_codec.h"
#include "log_text/log.h"

namespace toucanhollow {
namespace {

constexpr char kConfigStream[] = "config";
constexpr Duration kRefreshCheckPeriod = Seconds(1);

}  // namespace

ConfigTask::ConfigTask(ProcessContext& process_context,
                       PlatformLog& platform_log,
                       std::function<void(const ConfigView&)> change_handler)
    : context(process_context),
      log(platform_log),
      on_change(std::move(change_handler)) {
  this->follower = std::make_unique<LogFollower>(
      this->context, this->log, kConfigStream, 1,
      LogFollowerCallbacks{[this](const LogEntry& entry) {
                             this->ApplyStep(FoldEntry(std::move(this->state),
                                                       DecodeConfig(entry)));
                           },
                           [this](const LogStatus& status) {
                             this->log_status = status;
                             this->state =
                                 ObserveConfigLogEnd(std::move(this->state),
                                                     status.next_offset - 1);
                             this->UpdateView();
                           },
                           nullptr});
}

ConfigTask::~ConfigTask() {
  *this->alive = false;
}

const ConfigView& ConfigTask::View() const {
  return this->view;
}

LogOffset ConfigTask::Offset() const {
  return ConfigOffset(this->state);
}

void ConfigTask::ApplyStep(ConfigStep step) {
  this->state = std::move(step.state);
  for (const ConfigReport& report : step.reports) {
    Event event;
    event.kind = report.failure.code == ResultCode::kRecordRevisionConflict
                     ? EventKind::kRecordVoid
                     : EventKind::kRecordSeen;
    event.subject = report.subject.kind + "/" + report.subject.name;
    event.code = static_cast<int>(report.failure.code);
    event.detail = "offset " + std::to_string(report.offset) + ": " +
                   report.failure.detail;
    this->context.Record(std::move(event));
    this->context.metrics.Count(
        "config_reports",
        "code=\"" + std::to_string(static_cast<int>(report.failure.code)) +
            "\"");
  }
}

// Recomputes the view and calls `on_change` if the configuration in force has
// changed.
void ConfigTask::UpdateView() {
  ConfigView now = MakeConfigView(this->state);
  const LogOffset before = this->view.as_of;
  const bool is_unchanged = now.ready == this->view.ready &&
                            now.services == this->view.services &&
                            now.endpoints == this->view.endpoints &&
                            now.data_centres == this->view.data_centres &&
                            now.accounts == this->view.accounts;
  this->view = std::move(now);
  if (is_unchanged) {
    return;
  }
  for (const auto& [subject, known] : this->state.subjects) {
    const LogOffset revision = GetRevision(this->state, subject);
    if (revision > before) {
      Event event;
      event.kind = EventKind::kRecordInForce;
      event.subject = subject.kind + "/" + subject.name;
      event.detail = "revision " + std::to_string(revision);
      this->context.Record(std::move(event));
    }
  }
  this->on_change(this->view);
}

void ConfigTask::OnPeerMessage(
    const Message& message,
    const std::function<void(const Message& reply)>& reply) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    const SnapshotRequestDecision decision = DecideSnapshotRequest(
        this->snapshot_request, this->state, this->view.ready,
        heartbeat->config_offset, EventLoop::Now());
    this->snapshot_request = decision.state;
    if (decision.request_snapshot) {
      reply(SnapshotRequest{this->Offset()});
    }
  } else if (std::holds_alternative<SnapshotRequest>(message)) {
    if (this->view.ready) {
      reply(
          Snapshot{this->Offset(), EncodeSnapshot(TakeSnapshot(this->state))});
    }
  } else if (const auto* sent = std::get_if<Snapshot>(&message)) {
    const Result<ConfigSnapshot> snapshot = DecodeSnapshot(sent->text);
    if (!snapshot) {
      Log(Severity::kWarning, "config",
          "ignored a peer's snapshot, which cannot be decoded: " +
              FormatFailure(snapshot.error()));
      return;
    }
    this->ApplyStep(MergeSnapshot(std::move(this->state), snapshot.value()));
    Event event;
    event.kind = EventKind::kSnapshotMerged;
    event.detail = "as of offset " + std::to_string(sent->as_of);
    this->context.Record(std::move(event));
    this->UpdateView();
  }
}

void ConfigTask::StartRefresh(std::function<std::vector<ProcessName>()> list) {
  this->hosts = std::move(list);
  this->refresh_timer =
      std::make_unique<Timer>(this->context.loop, kRefreshCheckPeriod,
                              kRefreshCheckPeriod, [this] { this->Refresh(); });
}

void ConfigTask::Refresh() {
  if (this->refresh_pending || !this->follower->IsReachable()) {
    return;
  }
  RefreshLogStatus status;
  status.healthy = true;
  status.end = this->log_status.next_offset - 1;
  status.retention = this->log_status.retention;
  const RefreshPlan plan =
      PlanRefresh(this->state, status, this->context.settings.process,
                  this->hosts(), EventLoop::WallNow());
  if (plan.refresh.subjects.empty()) {
    return;
  }
  this->refresh_pending = true;
  this->context.metrics.Count("config_refreshes");
  Event event;
  event.kind = EventKind::kRecordRefreshed;
  event.detail = std::to_string(plan.refresh.subjects.size()) + " subjects";
  this->context.Record(std::move(event));
  this->log.Append(kConfigStream, {EncodeRefresh(plan.refresh)}, "",
                   [this, guard = this->alive](const LogAppendOutcome&) {
                     // The outcome is not needed: if the entry is in the log,
                     // it will be read, and if not, the refresh is due again.
                     if (*guard) {
                       this->refresh_pending = false;
                     }
                   });
}

}  // namespace toucanhollow
