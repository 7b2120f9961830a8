#include "agent/map_task.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "log_codec/map_codec.h"
#include "log_text/log.h"

namespace toucanhollow {
namespace {

constexpr char kMapsStream[] = "maps";
// Planning a map takes milliseconds at 64 ranks with 128 experts, and the
// estimate of expert popularity changes little in a shorter time.
constexpr Duration kProposalCheckInterval = Seconds(10);

// Engines identify a change by a string, which here is the log offset of its
// proposal in decimal.
std::optional<ChangeOffset> ParseChange(const std::string& text) {
  ChangeOffset change = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, change);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return change;
}

MapEngineStatus ToMapStatus(const EngineStatus& report) {
  MapEngineStatus status;
  status.incarnation = Incarnation{report.incarnation};
  status.step = report.step;
  if (report.map_version >= 0) {
    status.version = report.map_version;
  }
  status.staged = ParseChange(report.staged_change);
  if (report.hold_step >= 0) {
    status.hold_step = report.hold_step;
  }
  return status;
}

// Counts the experts that `to` places on the rank and `from` does not.
std::int64_t CountNewExperts(const ExpertMap& from,
                             const ExpertMap& to,
                             int rank) {
  const auto index = static_cast<std::size_t>(rank);
  if (index >= to.experts_by_rank.size()) {
    return 0;
  }
  const std::vector<int>& target_experts = to.experts_by_rank[index];
  if (index >= from.experts_by_rank.size()) {
    return std::ssize(target_experts);
  }
  const std::vector<int>& current_experts = from.experts_by_rank[index];
  return std::ranges::count_if(target_experts, [&](int expert) {
    return !std::ranges::binary_search(current_experts, expert);
  });
}

}  // namespace

MapTask::MapTask(ProcessContext& process_context,
                 PlatformLog& platform_log,
                 EngineClient& engine_client,
                 std::function<void(bool)> mismatch_handler)
    : context(process_context),
      log(platform_log),
      engine(engine_client),
      on_mismatch_change(std::move(mismatch_handler)),
      group(process_context.settings.back_end->service) {
  for (const int rank : this->context.settings.back_end->ranks) {
    this->participants.push_back(
        MakeParticipant(this->group, rank, this->context.incarnation));
  }
  this->proposer.process = this->context.settings.process;
  if (!this->participants.empty()) {
    this->proposer.rank = this->participants.front().rank;
  }
  this->follower = std::make_unique<LogFollower>(
      this->context, this->log, kMapsStream, 1,
      LogFollowerCallbacks{
          [this](const LogEntry& entry) {
            this->fold =
                FoldMapEntry(std::move(this->fold), DecodeMapEntry(entry));
            this->AdvanceParticipants();
          },
          [this](const LogStatus& follower_status) {
            this->log_status.end = follower_status.next_offset - 1;
            this->log_status.retention = follower_status.retention;
            for (Participant& participant : this->participants) {
              participant = ObserveMapLogEnd(std::move(participant), this->fold,
                                             this->log_status.end);
            }
            this->AdvanceParticipants();
            this->RefreshMap();
          },
          [this](bool reachable) { this->log_status.reachable = reachable; }});
}

MapTask::~MapTask() {
  *this->alive = false;
}

void MapTask::OnStatus(const EngineStatus& report) {
  this->status = ToMapStatus(report);
  this->AdvanceParticipants();
  this->Propose(report);
}

void MapTask::SetShape(ModelGroupShape group_shape) {
  this->shape = std::move(group_shape);
}

void MapTask::Propose(const EngineStatus& report) {
  const TimePoint now = EventLoop::Now();
  if (!this->shape || this->participants.empty() ||
      now < this->next_proposal_check || this->appending || this->mismatch) {
    return;
  }
  this->next_proposal_check = now + kProposalCheckInterval;
  ExpertCounts counts;
  counts.engine = Incarnation{report.incarnation};
  counts.step = report.step;
  counts.step_time = report.step_time;
  counts.tokens = report.expert_tokens;
  ProposerStep step =
      AdvanceProposer(std::move(this->proposer), this->fold, *this->shape,
                      this->log_status, counts, now);
  this->proposer = std::move(step.proposer);
  if (step.proposal) {
    this->context.metrics.Count("map_proposals");
    Log(Severity::kInfo, "map",
        "proposed map change " + step.proposal->change + " for step " +
            std::to_string(step.proposal->activation_step));
    this->appending = true;
    this->Append(MapEntry{0, {}, this->group, *std::move(step.proposal)});
  }
}

void MapTask::AdvanceParticipants() {
  const GroupMaps maps = MapsOfGroup(this->fold, this->group);
  const auto record = [&](EventKind kind, ChangeOffset change) {
    Event event;
    event.kind = kind;
    event.endpoint = this->context.settings.back_end->endpoint;
    event.subject = this->group.value + "/" + std::to_string(change);
    this->context.Record(std::move(event));
  };
  const ChangeOffset open_change = maps.open ? maps.open->offset : 0;
  const ChangeOffset version = CurrentMap(maps).version;
  const ChangeOffset previous_open_change =
      std::exchange(this->last_seen_open_change, open_change);
  if (std::exchange(this->last_seen_version, version) != version) {
    record(EventKind::kMapCommitted, version);
  } else if (previous_open_change != 0 && previous_open_change != open_change) {
    record(EventKind::kMapAborted, previous_open_change);
  }
  if (open_change != previous_open_change && open_change != 0) {
    record(EventKind::kMapProposed, open_change);
  }
  if (!this->status) {
    return;
  }
  const ChangeOffset running_version = this->status->version.value_or(0);
  if (std::exchange(this->last_seen_running_version, running_version) !=
      running_version) {
    record(EventKind::kMapActivated, running_version);
  }
  bool any_mismatch = false;
  for (Participant& participant : this->participants) {
    ParticipantStep step = AdvanceParticipant(std::move(participant), maps,
                                              *this->status, EventLoop::Now());
    participant = std::move(step.participant);
    any_mismatch = any_mismatch || participant.mismatch;
    for (const ParticipantAction& action : step.actions) {
      this->Perform(participant, action);
    }
  }
  if (std::exchange(this->mismatch, any_mismatch) != any_mismatch) {
    this->on_mismatch_change(any_mismatch);
  }
}

void MapTask::Perform(const Participant& participant,
                      const ParticipantAction& action) {
  if (const auto* order = std::get_if<MapOrder>(&action)) {
    this->SendMapOrder(participant, *order);
  } else if (const auto* confirm = std::get_if<AppendConfirm>(&action)) {
    Event event;
    event.kind = EventKind::kMapConfirmed;
    event.endpoint = this->context.settings.back_end->endpoint;
    event.subject =
        this->group.value + "/" + std::to_string(confirm->record.change);
    event.detail = "rank " + std::to_string(confirm->record.rank);
    this->context.Record(std::move(event));
    this->Append(MapEntry{0, {}, this->group, confirm->record});
  } else if (const auto* abort = std::get_if<AppendAbort>(&action)) {
    this->Append(MapEntry{0, {}, this->group, abort->record});
  } else if (const auto* report = std::get_if<ReportMapMismatch>(&action)) {
    this->context.metrics.Count("map_mismatches");
    Log(Severity::kError, "map", FormatFailure(report->failure));
  }
}

void MapTask::SendMapOrder(const Participant& participant,
                           const MapOrder& order) {
  EngineOrder engine_order;
  const auto set_change = [&](EngineOrder::Kind kind, ChangeOffset change) {
    engine_order.kind = kind;
    engine_order.fence = change;
    engine_order.change = std::to_string(change);
  };
  if (const auto* stage = std::get_if<StageOrder>(&order)) {
    set_change(EngineOrder::Kind::kStageMap, stage->change);
    engine_order.version = stage->change;
    const GroupMaps maps = MapsOfGroup(this->fold, this->group);
    engine_order.bytes =
        kBytesPerExpert *
        CountNewExperts(CurrentMap(maps).map, stage->map, participant.rank);
  } else if (const auto* hold = std::get_if<HoldOrder>(&order)) {
    set_change(EngineOrder::Kind::kHoldBefore, hold->change);
    engine_order.step = hold->step;
  } else if (const auto* activate = std::get_if<ActivateOrder>(&order)) {
    set_change(EngineOrder::Kind::kActivateAt, activate->change);
    engine_order.step = activate->step;
  } else if (const auto* continue_order = std::get_if<ContinueOrder>(&order)) {
    set_change(EngineOrder::Kind::kContinueOn, continue_order->change);
    engine_order.step = continue_order->step;
  } else if (const auto* load = std::get_if<LoadOrder>(&order)) {
    set_change(EngineOrder::Kind::kLoadMap, load->version.version);
    engine_order.version = load->version.version;
    engine_order.step = load->first_step;
  }
  this->context.metrics.Count("map_orders");
  this->engine.SendEngineOrder(
      engine_order, [this, guard = this->alive](const Result<bool>& result) {
        // The engine's next status shows whether the order took effect.
        if (*guard && !result) {
          this->context.metrics.Count("map_orders_failed");
          Log(Severity::kWarning, "map", FormatFailure(result.error()));
        }
      });
}

void MapTask::Append(const MapEntry& entry) {
  const TimePoint started_at = EventLoop::Now();
  this->log.Append(
      kMapsStream, {EncodeMapEntry(entry)}, "",
      [this, started_at, guard = this->alive](const LogAppendOutcome& outcome) {
        if (!*guard) {
          return;
        }
        this->appending = false;
        this->log_status.last_append = EventLoop::Now() - started_at;
        if (outcome.end != AppendEnd::kAppended) {
          // The participant appends the record again until the log shows it.
          this->context.metrics.Count("map_appends_failed");
        }
      });
}

void MapTask::RefreshMap() {
  if (this->appending || this->participants.empty()) {
    return;
  }
  GroupStatus group_status;
  group_status.group = this->group;
  // Agents do not know which ranks are alive. With all lower ranks counted as
  // alive, the delay of each rank depends on its own number.
  const int rank = this->participants.front().rank;
  for (int other = 0; other <= rank; ++other) {
    group_status.alive_ranks.insert(other);
  }
  const std::optional<MapRefreshRecord> refresh = PlanMapRefresh(
      this->fold, group_status, this->log_status, rank, EventLoop::WallNow());
  if (refresh) {
    this->appending = true;
    this->context.metrics.Count("map_refreshes");
    this->Append(MapEntry{0, {}, this->group, *refresh});
  }
}

}  // namespace toucanhollow
