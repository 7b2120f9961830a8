#include "map_task/group_coordinator.h"

#include <algorithm>
#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// How often choices are read, and from how many ranks in turn. Demand shifts
// every few seconds, and the choices of some ranks are a sample of all.
constexpr Duration kChoicesPeriod = Milliseconds(100);
constexpr std::size_t kRanksPerChoiceReading = 24;
// How often reports are read while no round is in progress.
constexpr Duration kIdleReportPeriod = Milliseconds(80);
constexpr Duration kRoundReportPeriod = Milliseconds(30);
// For this long after an order went unanswered, rounds use the largest hold
// lead, which leaves time to repeat orders.
constexpr Duration kOrderFailureWindow = Seconds(4);
// A reading that took longer, for example because this process was paused,
// mixes moments that are too far apart to decide on.
constexpr Duration kMaxReadingAge = Milliseconds(500);
// The least part by which a change must lower the load of the most loaded rank.
// Passes take 15% longer while experts load, and a shift of demand in the
// meantime has to wait for the end of the change.
constexpr double kMinImprovement = 0.12;
// Sets with a lower imbalance are not changed, because every expert load has a
// cost.
constexpr double kAcceptableImbalanceRatio = 1.25;
// New requests avoid ranks whose work takes at least this many times as long as
// usual.
constexpr double kMinSlowRankSlowdown = 1.3;
// With fewer choices, the demand estimate is noise.
constexpr double kMinDemand = 2000;
constexpr int kStatusConflict = 409;
constexpr int kStatusFenced = 412;

std::string_view PhaseName(ChangePhase phase) {
  switch (phase) {
    case ChangePhase::kIdle:
      return "idle";
    case ChangePhase::kPreparing:
      return "preparing";
    case ChangePhase::kHolding:
      return "holding";
    case ChangePhase::kArming:
      return "arming";
    case ChangePhase::kReleasing:
      return "releasing";
    case ChangePhase::kResolving:
      return "resolving";
  }
  return "";
}

// Returns the mean over all sets of the slowest rank's time relative to that of
// a healthy rank with the mean load.
double MeanImbalanceRatio(const GroupMap& map,
                          const std::vector<std::vector<double>>& chosen,
                          const RankSlowdowns& slowdowns) {
  double sum = 0;
  for (std::size_t set = 0; set < map.size(); ++set) {
    sum += LoadImbalanceRatio(map[set], chosen[set], slowdowns);
  }
  return map.empty() ? 1 : sum / static_cast<double>(map.size());
}

}  // namespace

GroupCoordinator::GroupCoordinator(
    GroupKey group,
    RankCalls& calls,
    CoordinatorVersions& versions,
    std::function<void(const RankReport&)> on_report)
    : group(std::move(group)),
      calls(calls),
      versions(versions),
      on_report(std::move(on_report)) {}

void GroupCoordinator::SetRanks(std::vector<RankAddress> ranks,
                                const ExpertParameters& parameters) {
  this->ranks = std::move(ranks);
  this->parameters = parameters;
}

void GroupCoordinator::Stop() {
  this->state = ChangeState{};
  this->slow_servers.clear();
}

void GroupCoordinator::Call(const std::vector<RankCall>& calls,
                            bool fall_back_to_engine,
                            RankCalls::Done done) {
  this->calls.Start(calls, fall_back_to_engine,
                    [token = std::weak_ptr<int>(this->alive),
                     done = std::move(done)](std::vector<RankAnswer> answers) {
                      if (!token.expired()) {
                        done(std::move(answers));
                      }
                    });
}

void GroupCoordinator::Tick(TimePoint now) {
  if (this->ranks.empty()) {
    return;
  }
  const bool idle = this->state.phase == ChangePhase::kIdle;
  const Duration report_period = idle ? kIdleReportPeriod : kRoundReportPeriod;
  if (!this->reports_pending && now - this->reports_read_at >= report_period) {
    this->ReadReports(now);
  }
  if (!this->choices_pending && now - this->choices_read_at >= kChoicesPeriod) {
    this->choices_read_at = now;
    this->ReadChoices();
  }
}

std::vector<RankCall> GroupCoordinator::CallAll(RankRequestKind kind) const {
  std::vector<RankCall> all;
  for (const RankAddress& rank : this->ranks) {
    all.push_back({rank, {.kind = kind, .sets = this->parameters.sets}});
  }
  return all;
}

void GroupCoordinator::ReadReports(TimePoint now) {
  this->reports_pending = true;
  this->reports_read_at = now;
  this->Call(this->CallAll(RankRequestKind::kReport), true,
             [this, now](const std::vector<RankAnswer>& answers) {
               this->reports_pending = false;
               this->OnReports(answers, now);
             });
}

std::optional<GroupReading> GroupCoordinator::ToReading(
    const std::vector<RankAnswer>& answers,
    Duration duration) {
  if (duration > kMaxReadingAge) {
    this->UpdateReadingProblem("the reading took too long", "", duration);
    return std::nullopt;
  }
  GroupReading reading;
  for (const RankAnswer& answer : answers) {
    if (!answer.reply.report) {
      this->UpdateReadingProblem(answer.reply.detail, answer.server, duration);
      return std::nullopt;
    }
    // A rank that has moved is no longer part of this group.
    if (answer.reply.report->group == this->group.name) {
      reading.push_back(*answer.reply.report);
    }
  }
  std::ranges::sort(reading, {}, &RankReport::rank);
  if (!IsCompleteReading(reading)) {
    this->UpdateReadingProblem("the ranks do not form one complete open group",
                               "", duration);
    return std::nullopt;
  }
  this->UpdateReadingProblem("", "", duration);
  return reading;
}

void GroupCoordinator::OnReports(const std::vector<RankAnswer>& answers,
                                 TimePoint requested_at) {
  const TimePoint now = EventLoop::Now();
  for (const RankAnswer& answer : answers) {
    if (answer.reply.report) {
      this->on_report(*answer.reply.report);
    }
  }
  if (!this->versions.is_coordinator) {
    return;
  }
  std::optional<GroupReading> reading =
      this->ToReading(answers, now - requested_at);
  if (!reading) {
    return;
  }
  this->reading = std::move(*reading);
  if (GetFencingToken(HighestVersion(this->reading)) >
      FencingToken(this->versions.generation)) {
    // Ranks refuse orders of an earlier term only where the platform checks
    // fencing tokens.
    this->MarkDeposed(this->versions.generation);
    return;
  }
  this->UpdateSlowRanks();
  const RankReport& first = this->reading.front();
  this->reading_duration = now - requested_at;
  this->pass_timing =
      UpdatePassTiming(this->pass_timing, first.epoch, first.step, now);
  this->AdvanceRound(now);
  if (!IsInUse(this->current_map, this->reading) &&
      !this->current_map_pending) {
    this->ReadCurrentMap();
  }
}

void GroupCoordinator::AdvanceRound(TimePoint now) {
  const RankReport& first = this->reading.front();
  ChangeInput input;
  input.reading = this->reading;
  input.free_version = NextFreeVersion(this->versions);
  input.current_map = this->current_map;
  const bool orders_unanswered =
      this->order_unanswered_at &&
      now - *this->order_unanswered_at < kOrderFailureWindow;
  input.hold_lead = orders_unanswered
                        ? kMaxHoldLead
                        : ComputeHoldLead(this->pass_timing.pass_duration,
                                          this->reading_duration);
  if (this->state.phase == ChangePhase::kIdle) {
    input.target_map = this->PlanTargetMap();
  }
  ChangeDecision decision = AdvanceChange(this->state, input, now);
  if (decision.state.version == input.free_version) {
    ++this->versions.used_count;
  }
  if (!decision.note.empty()) {
    LogJsonNow("map_round",
               {{"group", std::string_view(this->group.name)},
                {"phase", PhaseName(decision.state.phase)},
                {"note", std::string_view(decision.note)},
                {"version", decision.state.version},
                {"epoch", first.epoch},
                {"step", first.step},
                {"hold_step", decision.state.hold_step},
                {"reading_ms", ToMilliseconds(this->reading_duration)}});
  }
  if (decision.note == "switched") {
    this->current_map = {this->state.epoch, this->state.version,
                         this->state.map};
  }
  this->state = decision.state;
  this->SendOrders(decision);
}

void GroupCoordinator::MarkDeposed(const StorePosition& generation) {
  this->versions.deposed_generation =
      std::max(this->versions.deposed_generation, generation);
  LogJsonNow("coordinator_deposed", {{"era", generation.era.value},
                                     {"generation", generation.number}});
}

void GroupCoordinator::UpdateSlowRanks() {
  std::set<std::string> slow_servers;
  for (const RankReport& rank : this->reading) {
    if (rank.slowdown >= kMinSlowRankSlowdown) {
      slow_servers.insert(rank.server);
    }
  }
  this->slow_servers = std::move(slow_servers);
}

void GroupCoordinator::UpdateReadingProblem(std::string_view problem,
                                            std::string_view server,
                                            Duration duration) {
  if (problem == this->reading_problem) {
    return;
  }
  this->reading_problem = problem;
  LogJsonNow("group_reading", {{"group", std::string_view(this->group.name)},
                               {"complete", problem.empty()},
                               {"problem", problem},
                               {"server", server},
                               {"reading_ms", ToMilliseconds(duration)}});
}

void GroupCoordinator::SendOrders(const ChangeDecision& decision) {
  if (decision.orders.empty()) {
    return;
  }
  const auto map = std::make_shared<const GroupMap>(this->state.map);
  std::vector<RankCall> orders;
  for (const RankOrder& order : decision.orders) {
    const auto rank =
        std::ranges::find(this->ranks, order.server, &RankAddress::server);
    if (rank == this->ranks.end()) {
      continue;
    }
    orders.push_back(
        {*rank,
         {.kind = RankRequestKind::kOrder,
          .order = order,
          .fence = FencingToken(this->versions.generation),
          .map = order.kind == RankOrderKind::kPrepare ? map : nullptr}});
  }
  // The next reading must start after the orders were answered.
  this->reports_pending = true;
  const StorePosition generation = this->versions.generation;
  const TimePoint requested_at = EventLoop::Now();
  this->Call(
      orders, true,
      [this, generation, requested_at](const std::vector<RankAnswer>& answers) {
        this->reports_pending = false;
        this->OnOrdersAnswered(answers, generation, requested_at);
      });
}

void GroupCoordinator::OnOrdersAnswered(const std::vector<RankAnswer>& answers,
                                        const StorePosition& generation,
                                        TimePoint requested_at) {
  std::int64_t failed = 0;
  bool refused = false;
  for (const RankAnswer& answer : answers) {
    const RankReply& reply = answer.reply;
    refused = refused || reply.status == kStatusConflict;
    if (reply.status == kStatusFenced) {
      this->MarkDeposed(generation);
    } else if (reply.status >= 400 || reply.status == 0) {
      if (reply.status == 0) {
        this->order_unanswered_at = EventLoop::Now();
      }
      // Logs only the first failure, which names the cause, instead of one line
      // per rank.
      if (failed++ == 0) {
        LogJsonNow("rank_order_failed",
                   {{"server", std::string_view(answer.server)},
                    {"status", static_cast<std::int64_t>(reply.status)},
                    {"detail", std::string_view(reply.detail)}});
      }
    }
  }
  if (failed > 1) {
    LogJsonNow("rank_orders_failed", {{"orders", failed}});
  }
  if (refused) {
    // Tick starts the next reading, which limits the rate at which orders that
    // are refused again and again are repeated.
    if (this->state.phase == ChangePhase::kResolving) {
      this->current_map = {};
    }
    return;
  }
  // Each report was made after the order to its rank, so together they form a
  // reading if every rank had an order.
  if (answers.size() == this->ranks.size()) {
    this->OnReports(answers, requested_at);
  } else if (!this->ranks.empty()) {
    this->ReadReports(EventLoop::Now());
  }
}

void GroupCoordinator::ReadChoices() {
  this->choices_pending = true;
  const std::vector<RankCall> all = this->CallAll(RankRequestKind::kChoices);
  std::vector<RankCall> some;
  // A coordinator that has no demand estimate yet asks all ranks.
  const std::size_t asked = TotalDemand(this->demand) < kMinDemand
                                ? all.size()
                                : std::min(all.size(), kRanksPerChoiceReading);
  for (std::size_t i = 0; i < asked; ++i) {
    some.push_back(all[this->next_choice_rank++ % all.size()]);
  }
  this->Call(some, false, [this](const std::vector<RankAnswer>& answers) {
    this->choices_pending = false;
    this->OnChoices(answers);
  });
}

void GroupCoordinator::OnChoices(const std::vector<RankAnswer>& answers) {
  std::vector<ChoiceTable> choices;
  for (const RankAnswer& answer : answers) {
    if (answer.reply.choices) {
      choices.push_back(*answer.reply.choices);
    } else if (answer.reply.status == 200 && !answer.reply.detail.empty()) {
      LogJsonNow("rank_counts_malformed",
                 {{"server", std::string_view(answer.server)},
                  {"detail", std::string_view(answer.reply.detail)}});
    }
  }
  AddChoices(this->demand, choices, EventLoop::Now());
}

void GroupCoordinator::ReadCurrentMap() {
  this->current_map_pending = true;
  // Engines are called directly, which is charged, only while the group may
  // have to wait for the map.
  const bool may_stand = this->state.phase == ChangePhase::kResolving;
  this->Call(this->CallAll(RankRequestKind::kExperts), may_stand,
             [this](const std::vector<RankAnswer>& answers) {
               this->current_map_pending = false;
               this->OnCurrentMap(answers);
             });
}

void GroupCoordinator::OnCurrentMap(const std::vector<RankAnswer>& answers) {
  std::map<std::string, RankExperts> by_server;
  for (const RankAnswer& answer : answers) {
    if (!answer.reply.experts) {
      LogJsonNow("rank_experts_missing",
                 {{"server", std::string_view(answer.server)},
                  {"status", static_cast<std::int64_t>(answer.reply.status)},
                  {"detail", std::string_view(answer.reply.detail)}});
      return;
    }
    by_server.emplace(answer.server, *answer.reply.experts);
  }
  if (this->reading.empty()) {
    return;
  }
  const RankReport& first = this->reading.front();
  GroupMap map;
  for (const RankReport& rank : this->reading) {
    const auto found = by_server.find(rank.server);
    if (found == by_server.end() || found->second.version != first.map) {
      return;
    }
    map.resize(found->second.by_set.size());
    for (std::size_t set = 0; set < map.size(); ++set) {
      map[set].experts_by_rank.push_back(found->second.by_set[set]);
    }
  }
  this->current_map = {first.epoch, first.map, std::move(map)};
}

std::optional<GroupMap> GroupCoordinator::PlanTargetMap() {
  if (!IsInUse(this->current_map, this->reading) ||
      !IsValidMapFor(this->current_map.map, this->demand.chosen) ||
      TotalDemand(this->demand) < kMinDemand) {
    return std::nullopt;
  }
  EvenSplitPlacementLimits limits = this->parameters.limits;
  limits.max_loads_per_rank =
      MaxLoadsPerChange(this->parameters.expert_load_time);
  limits.acceptable_imbalance_ratio = kAcceptableImbalanceRatio;
  RankSlowdowns slowdowns;
  for (const RankReport& rank : this->reading) {
    slowdowns.push_back(rank.slowdown);
  }
  GroupMap target_map = PlanEvenSplitMaps(
      this->current_map.map, this->demand.chosen, limits, slowdowns);
  const double before =
      MeanImbalanceRatio(this->current_map.map, this->demand.chosen, slowdowns);
  const double after =
      MeanImbalanceRatio(target_map, this->demand.chosen, slowdowns);
  if (after > before * (1 - kMinImprovement)) {
    return std::nullopt;
  }
  LogJsonNow("map_planned", {{"group", std::string_view(this->group.name)},
                             {"ratio_now", before},
                             {"ratio_planned", after},
                             {"choices", TotalDemand(this->demand)},
                             {"present_version", this->current_map.version}});
  return target_map;
}

}  // namespace toucanhollow
