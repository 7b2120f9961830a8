#include "map_task/group_coordinator.h"

#include <algorithm>
#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// Choices are read this often, from so many ranks in turn. Demand shifts every
// few seconds, and the choices of some ranks are a sample of all.
constexpr Duration kChoicesPeriod = Milliseconds(100);
constexpr std::size_t kRanksPerReading = 24;
// Reports are read this often while no round is under way.
constexpr Duration kIdleReportPeriod = Milliseconds(80);
constexpr Duration kRoundReportPeriod = Milliseconds(30);
// After an order without an answer, rounds leave as much room as they may to
// repeat some.
constexpr Duration kOrderFailureMemory = Seconds(4);
// A reading that took longer, or that this process was paused after, mixes
// moments that are too far apart to decide on.
constexpr Duration kMaxReadingAge = Milliseconds(500);
// A change must lower the load of the most loaded rank by this part. Passes
// take 15% longer while experts load, and a shift of demand that comes
// meanwhile waits for the end of the change.
constexpr double kLeastImprovement = 0.12;
// Sets that are closer to even are left alone; each load has a price.
constexpr double kGoodRatio = 1.25;
// Ranks that are this much slower are left alone by new requests.
constexpr double kSlowPace = 1.3;
// Choices below which the estimate is noise.
constexpr double kLeastDemand = 2000;
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

// Mean over the sets of the slowest rank's time against a sound mean rank's.
double MeanRatio(const GroupMap& map,
                 const std::vector<std::vector<double>>& chosen,
                 const RankPaces& paces) {
  double sum = 0;
  for (std::size_t set = 0; set < map.size(); ++set) {
    sum += LoadRatio(map[set], chosen[set], paces);
  }
  return map.empty() ? 1 : sum / static_cast<double>(map.size());
}

}  // namespace

GroupRounds::GroupRounds(GroupKey group,
                         RankCalls& calls,
                         CoordinatorVersions& versions,
                         std::function<void(const RankReport&)> on_report)
    : group(std::move(group)),
      calls(calls),
      versions(versions),
      on_report(std::move(on_report)) {}

void GroupRounds::SetRanks(std::vector<RankAddress> ranks,
                           const ExpertFigures& figures) {
  this->ranks = std::move(ranks);
  this->figures = figures;
}

void GroupRounds::Stop() {
  this->state = ChangeState{};
  this->slow.clear();
}

void GroupRounds::Call(const std::vector<RankCall>& calls,
                       bool direct,
                       RankCalls::Done done) {
  this->calls.Start(calls, direct,
                    [token = std::weak_ptr<int>(this->alive),
                     done = std::move(done)](std::vector<RankAnswer> answers) {
                      if (!token.expired()) {
                        done(std::move(answers));
                      }
                    });
}

void GroupRounds::Tick(TimePoint now) {
  if (this->ranks.empty()) {
    return;
  }
  const bool idle = this->state.phase == ChangePhase::kIdle;
  const Duration report_period = idle ? kIdleReportPeriod : kRoundReportPeriod;
  if (!this->reports_open && now - this->reports_at >= report_period) {
    this->ReadReports(now);
  }
  if (!this->choices_open && now - this->choices_at >= kChoicesPeriod) {
    this->choices_at = now;
    this->ReadChoices();
  }
}

std::vector<RankCall> GroupRounds::CallAll(RankRequestKind kind) const {
  std::vector<RankCall> all;
  for (const RankAddress& rank : this->ranks) {
    all.push_back({rank, {.kind = kind, .sets = this->figures.sets}});
  }
  return all;
}

void GroupRounds::ReadReports(TimePoint now) {
  this->reports_open = true;
  this->reports_at = now;
  this->Call(this->CallAll(RankRequestKind::kReport), true,
             [this, now](const std::vector<RankAnswer>& answers) {
               this->reports_open = false;
               this->OnReports(answers, now);
             });
}

std::optional<GroupReading> GroupRounds::ToReading(
    const std::vector<RankAnswer>& answers,
    Duration took) {
  if (took > kMaxReadingAge) {
    this->NoteReading("took too long", "", took);
    return std::nullopt;
  }
  GroupReading reading;
  for (const RankAnswer& answer : answers) {
    if (!answer.reply.report) {
      this->NoteReading(answer.reply.detail, answer.server, took);
      return std::nullopt;
    }
    // A rank that has moved is no part of this group any more.
    if (answer.reply.report->group == this->group.name) {
      reading.push_back(*answer.reply.report);
    }
  }
  std::ranges::sort(reading, {}, &RankReport::rank);
  if (!IsCompleteReading(reading)) {
    this->NoteReading("not one open group", "", took);
    return std::nullopt;
  }
  this->NoteReading("", "", took);
  return reading;
}

void GroupRounds::OnReports(const std::vector<RankAnswer>& answers,
                            TimePoint asked_at) {
  const TimePoint now = EventLoop::Now();
  for (const RankAnswer& answer : answers) {
    if (answer.reply.report) {
      this->on_report(*answer.reply.report);
    }
  }
  if (!this->versions.coordinates) {
    return;
  }
  std::optional<GroupReading> reading =
      this->ToReading(answers, now - asked_at);
  if (!reading) {
    return;
  }
  this->reading = std::move(*reading);
  if (TermOf(HighestVersion(this->reading)) > this->versions.generation) {
    // Ranks refuse orders of an earlier term only where the platform fences.
    this->NoteDeposed(this->versions.generation);
    return;
  }
  this->NoteSlowRanks();
  const RankReport& first = this->reading.front();
  this->exchange = now - asked_at;
  this->passes = TakeStep(this->passes, first.epoch, first.step, now);
  const bool knows_map =
      first.epoch == this->present_epoch && first.map == this->present_version;
  if (!knows_map && !this->present_open) {
    this->ReadPresentMap();
  }
  // Nothing may be prepared before the present map is known.
  if (this->state.phase != ChangePhase::kIdle || !this->present.empty()) {
    this->AdvanceRound(now);
  }
}

void GroupRounds::AdvanceRound(TimePoint now) {
  const RankReport& first = this->reading.front();
  ChangeInput input;
  input.reading = this->reading;
  input.free_version = FreeVersion(this->versions);
  input.present = this->present;
  const bool orders_fail = this->order_failed_at &&
                           now - *this->order_failed_at < kOrderFailureMemory;
  input.hold_lead =
      orders_fail ? kMaxHoldLead : HoldLead(this->passes.pass, this->exchange);
  if (this->state.phase == ChangePhase::kIdle) {
    input.wanted = this->PlanWanted();
  }
  ChangeDecision decision = AdvanceChange(this->state, input, now);
  if (decision.state.version == input.free_version) {
    ++this->versions.used;
  }
  if (!decision.note.empty()) {
    LogJsonNow("map_round", {{"group", std::string_view(this->group.name)},
                             {"phase", PhaseName(decision.state.phase)},
                             {"note", std::string_view(decision.note)},
                             {"version", decision.state.version},
                             {"epoch", first.epoch},
                             {"step", first.step},
                             {"hold_step", decision.state.hold_step},
                             {"reading_ms", ToMilliseconds(this->exchange)}});
  }
  if (decision.note == "switched") {
    this->present = this->state.map;
    this->present_version = this->state.version;
    this->present_epoch = this->state.epoch;
  }
  this->state = decision.state;
  this->SendOrders(decision);
}

void GroupRounds::NoteDeposed(std::int64_t generation) {
  this->versions.deposed_generation =
      std::max(this->versions.deposed_generation, generation);
  LogJsonNow("coordinator_deposed", {{"generation", generation}});
}

void GroupRounds::NoteSlowRanks() {
  std::set<std::string> slow;
  for (const RankReport& rank : this->reading) {
    if (rank.pace >= kSlowPace) {
      slow.insert(rank.server);
    }
  }
  this->slow = std::move(slow);
}

void GroupRounds::NoteReading(std::string_view problem,
                              std::string_view server,
                              Duration took) {
  if (problem == this->reading_problem) {
    return;
  }
  this->reading_problem = problem;
  LogJsonNow("group_reading", {{"group", std::string_view(this->group.name)},
                               {"complete", problem.empty()},
                               {"problem", problem},
                               {"server", server},
                               {"reading_ms", ToMilliseconds(took)}});
}

void GroupRounds::SendOrders(const ChangeDecision& decision) {
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
          .fence = this->versions.generation,
          .map = order.kind == RankOrderKind::kPrepare ? map : nullptr}});
  }
  // The next reading must come after the orders.
  this->reports_open = true;
  const std::int64_t generation = this->versions.generation;
  const TimePoint asked_at = EventLoop::Now();
  this->Call(
      orders, true,
      [this, generation, asked_at](const std::vector<RankAnswer>& answers) {
        this->reports_open = false;
        this->OnOrdersAnswered(answers, generation, asked_at);
      });
}

void GroupRounds::OnOrdersAnswered(const std::vector<RankAnswer>& answers,
                                   std::int64_t generation,
                                   TimePoint asked_at) {
  std::int64_t failed = 0;
  for (const RankAnswer& answer : answers) {
    const RankReply& reply = answer.reply;
    if (reply.status == kStatusFenced) {
      this->NoteDeposed(generation);
    } else if (reply.status >= 400 || reply.status == 0) {
      if (reply.status == 0) {
        this->order_failed_at = EventLoop::Now();
      }
      // One line for all ranks: the first tells the cause.
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
  // Each report was made after the order to its rank; they are a reading if
  // every rank had an order.
  if (answers.size() == this->ranks.size()) {
    this->OnReports(answers, asked_at);
  } else if (!this->ranks.empty()) {
    this->ReadReports(EventLoop::Now());
  }
}

void GroupRounds::ReadChoices() {
  this->choices_open = true;
  const std::vector<RankCall> all = this->CallAll(RankRequestKind::kChoices);
  std::vector<RankCall> some;
  // A coordinator that knows no demand yet asks all ranks.
  const std::size_t asked = DemandWeight(this->demand) < kLeastDemand
                                ? all.size()
                                : std::min(all.size(), kRanksPerReading);
  for (std::size_t i = 0; i < asked; ++i) {
    some.push_back(all[this->next_choice_rank++ % all.size()]);
  }
  this->Call(some, false, [this](const std::vector<RankAnswer>& answers) {
    this->choices_open = false;
    this->OnChoices(answers);
  });
}

void GroupRounds::OnChoices(const std::vector<RankAnswer>& answers) {
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

void GroupRounds::ReadPresentMap() {
  this->present_open = true;
  this->Call(this->CallAll(RankRequestKind::kExperts), false,
             [this](const std::vector<RankAnswer>& answers) {
               this->present_open = false;
               this->OnPresentMap(answers);
             });
}

void GroupRounds::OnPresentMap(const std::vector<RankAnswer>& answers) {
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
  this->present = std::move(map);
  this->present_version = first.map;
  this->present_epoch = first.epoch;
}

std::optional<GroupMap> GroupRounds::PlanWanted() {
  const RankReport& first = this->reading.front();
  if (this->present_epoch != first.epoch ||
      this->present_version != first.map ||
      !FitsTable(this->present, this->demand.chosen) ||
      DemandWeight(this->demand) < kLeastDemand) {
    return std::nullopt;
  }
  EvenPlacementLimits limits = this->figures.limits;
  limits.loads_per_rank = LoadsPerChange(this->figures.expert_load_time);
  limits.good_ratio = kGoodRatio;
  RankPaces paces;
  for (const RankReport& rank : this->reading) {
    paces.push_back(rank.pace);
  }
  GroupMap wanted =
      PlanEvenMaps(this->present, this->demand.chosen, limits, paces);
  const double before = MeanRatio(this->present, this->demand.chosen, paces);
  const double after = MeanRatio(wanted, this->demand.chosen, paces);
  if (after > before * (1 - kLeastImprovement)) {
    return std::nullopt;
  }
  LogJsonNow("map_planned", {{"group", std::string_view(this->group.name)},
                             {"ratio_now", before},
                             {"ratio_planned", after},
                             {"choices", DemandWeight(this->demand)},
                             {"present_version", this->present_version}});
  return wanted;
}

}  // namespace toucanhollow
