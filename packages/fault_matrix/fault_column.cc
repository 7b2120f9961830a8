#include "fault_matrix/fault_column.h"

#include <array>
#include <utility>

namespace toucanhollow {
namespace {

// Longer than the 3 s after which silence counts as loss.
constexpr Duration kPauseTime = Milliseconds(4000);
constexpr Duration kCutTime = Milliseconds(4000);
constexpr Duration kLogTime = Milliseconds(3000);
constexpr Duration kMessageTime = Milliseconds(1500);
constexpr Duration kLateBy = Milliseconds(1200);
constexpr Duration kSlowBy = Milliseconds(800);
// A replaced process starts soon, so that it meets messages for the old one.
constexpr Duration kRestartAfter = Milliseconds(700);

Fault MakeFault(FaultKind kind,
                const std::string& target,
                const std::string& peer,
                Duration delay,
                Duration duration) {
  return {.kind = kind,
          .target = target,
          .peer = peer,
          .delay = delay,
          .duration = duration};
}

std::vector<Fault> FaultsOf(const ProcedureCase& base, FaultColumn column) {
  const std::string& entry = base.entry_host;
  const std::string& agent = base.agent;
  const Duration none{};
  // A map change takes 10 s from proposal to activation; faults must be able
  // to outlast it.
  const int scale = base.procedure == Procedure::kMapChange ? 4 : 1;
  const Duration pause_time = scale * kPauseTime;
  const Duration cut_time = scale * kCutTime;
  const Duration log_time = scale * kLogTime;
  switch (column) {
    case FaultColumn::kStall:
      return {MakeFault(FaultKind::kRankStall, agent, "", none, pause_time)};
    case FaultColumn::kLateToAgent:
      return {MakeFault(FaultKind::kLateMessages, entry, agent, kLateBy,
                        kMessageTime)};
    case FaultColumn::kLateToEntryHost:
      return {MakeFault(FaultKind::kLateMessages, agent, entry, kLateBy,
                        kMessageTime)};
    case FaultColumn::kDoubled:
      return {MakeFault(FaultKind::kDoubledMessages, entry, agent, none,
                        kMessageTime),
              MakeFault(FaultKind::kDoubledMessages, agent, entry, none,
                        kMessageTime)};
    case FaultColumn::kLostToAgent:
      return {MakeFault(FaultKind::kLostMessages, entry, agent, none,
                        kMessageTime)};
    case FaultColumn::kLostToEntryHost:
      return {MakeFault(FaultKind::kLostMessages, agent, entry, none,
                        kMessageTime)};
    case FaultColumn::kEntryHostDies:
      return {MakeFault(FaultKind::kProcessDeath, entry, "", none, none)};
    case FaultColumn::kAgentDies:
      return {MakeFault(FaultKind::kProcessDeath, agent, "", none, none)};
    case FaultColumn::kEntryHostPauses:
      return {MakeFault(FaultKind::kPause, entry, "", none, pause_time)};
    case FaultColumn::kAgentPauses:
      return {MakeFault(FaultKind::kPause, agent, "", none, pause_time)};
    case FaultColumn::kTurnsCold:
      return {MakeFault(FaultKind::kTurnCold, agent, "", none, none)};
    case FaultColumn::kEngineDies:
      return {};
    case FaultColumn::kLogDown:
      return {MakeFault(FaultKind::kLogDown, "", "", none, log_time)};
    case FaultColumn::kLogSlow:
      return {MakeFault(FaultKind::kLogSlow, "", "", kSlowBy, log_time)};
    case FaultColumn::kAnswerLost:
      return {MakeFault(FaultKind::kLogAnswersLost, "", "", none, log_time)};
    case FaultColumn::kOperatorsRace:
      return {MakeFault(
          FaultKind::kOperatorsRace,
          base.procedure == Procedure::kMapChange ? "group" : base.data_centre,
          "", none, none)};
    case FaultColumn::kPlatformCut:
      return {MakeFault(FaultKind::kCutFromPlatform, base.data_centre, "", none,
                        cut_time)};
    case FaultColumn::kDataCentresCut:
      return {MakeFault(FaultKind::kCutDataCentres, base.data_centre,
                        base.other_data_centre, none, cut_time)};
  }
  return {};
}

constexpr auto kNames = std::to_array<std::pair<FaultColumn, const char*>>({
    {FaultColumn::kStall, "rank stalls"},
    {FaultColumn::kLateToAgent, "late to agent"},
    {FaultColumn::kLateToEntryHost, "late to entry host"},
    {FaultColumn::kDoubled, "doubled"},
    {FaultColumn::kLostToAgent, "lost to agent"},
    {FaultColumn::kLostToEntryHost, "lost to entry host"},
    {FaultColumn::kEntryHostDies, "entry host dies"},
    {FaultColumn::kAgentDies, "agent dies"},
    {FaultColumn::kEntryHostPauses, "entry host pauses"},
    {FaultColumn::kAgentPauses, "agent pauses"},
    {FaultColumn::kTurnsCold, "turns cold"},
    {FaultColumn::kEngineDies, "engine dies"},
    {FaultColumn::kLogDown, "log down"},
    {FaultColumn::kLogSlow, "log slow"},
    {FaultColumn::kAnswerLost, "append answer lost"},
    {FaultColumn::kOperatorsRace, "operators race"},
    {FaultColumn::kPlatformCut, "cut from platform"},
    {FaultColumn::kDataCentresCut, "data centres cut"},
});

}  // namespace

std::string NameOfColumn(FaultColumn column) {
  for (const auto& [known, name] : kNames) {
    if (known == column) {
      return name;
    }
  }
  return {};
}

std::vector<FaultColumn> AllColumns() {
  std::vector<FaultColumn> columns;
  columns.reserve(kNames.size());
  for (const auto& [column, name] : kNames) {
    columns.push_back(column);
  }
  return columns;
}

std::vector<Step> StrikeAt(const ProcedureCase& base,
                           FaultColumn column,
                           Moment moment,
                           Duration after) {
  std::vector<Step> steps;
  if (column == FaultColumn::kEngineDies) {
    Step step;
    step.at = after;
    step.when = NameOf(moment);
    step.when_at = ProcessAt(base, moment);
    step.action.kind = ActionKind::kRestartEngine;
    step.action.subject = base.agent;
    steps.push_back(step);
  }
  for (const Fault& fault : FaultsOf(base, column)) {
    Step step;
    step.at = after;
    step.when = NameOf(moment);
    step.when_at = ProcessAt(base, moment);
    step.action.kind = ActionKind::kFault;
    step.action.fault = fault;
    steps.push_back(step);
    if (fault.kind == FaultKind::kProcessDeath) {
      step.at += kRestartAfter;
      step.action = {};
      step.action.kind = ActionKind::kStart;
      step.action.subject = fault.target;
      steps.push_back(step);
    }
  }
  return steps;
}

}  // namespace toucanhollow
