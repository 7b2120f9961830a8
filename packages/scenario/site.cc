#include "scenario/site.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/check.h"
#include "log_codec/config_codec.h"
#include "scenario/agent_performer.h"
#include "scenario/config_holder.h"
#include "scenario/entry_host_performer.h"
#include "scenario/fake_group.h"
#include "scenario/map_agent_performer.h"
#include "scenario/operator_performer.h"

namespace toucanhollow {

Site::Site(const Scenario& scenario, Defect defect, bool tracing)
    : scenario(scenario), world(scenario.seed, defect, tracing) {
  for (const NodeSetup& node : this->scenario.nodes) {
    this->world.network.AddNode(node.name, node.data_centre);
    if (node.rank >= 0) {
      auto& group = this->groups[node.service];
      if (!group) {
        group = std::make_unique<FakeGroup>(this->world, node.service);
      }
      group->AddRank(node);
    } else if (node.kind != NodeKind::kEntryHost) {
      this->endpoints[node.name] = std::make_unique<FakeEndpoint>(
          this->world.queue, this->world.seen, node);
    }
  }
  this->world.log.SetRetention(scenario.log_retention);
  const bool has_readers = std::ranges::any_of(
      this->scenario.nodes,
      [](const NodeSetup& node) { return node.kind == NodeKind::kEntryHost; });
  for (const std::string& data_centre : this->scenario.data_centres) {
    if (!has_readers) {
      break;
    }
    PublishedRecord record;
    record.subject = DataCentreSubject(data_centre);
    record.copy.change_id = "initial-" + data_centre;
    record.copy.text = DataCentreText(
        std::ranges::find(scenario.data_centres_out, data_centre) !=
        scenario.data_centres_out.end());
    this->world.log.Preload("config", EncodeRecord(record));
  }
  for (const NodeSetup& node : this->scenario.nodes) {
    this->Start(node.name);
  }
}

Observations Site::Finish() {
  for (const LogEntry& entry : this->world.log.Entries("config")) {
    const ConfigEntry decoded = DecodeConfig(entry);
    const auto* record = std::get_if<PublishedRecord>(&decoded.record);
    if (record == nullptr) {
      continue;
    }
    this->world.seen.logged.push_back(
        {.time = TimePoint(entry.time - this->world.log.WallNow() +
                           this->world.Now().time_since_epoch()),
         .subject = record->subject.name,
         .change_id = record->copy.change_id,
         .revision = entry.offset,
         .expected_revision = record->expected_revision,
         .out = record->copy.text == DataCentreText(true)});
  }
  this->world.seen.end = this->world.Now();
  return std::move(this->world.seen);
}

Site::~Site() = default;

const NodeSetup& Site::Setup(const std::string& node) const {
  const auto found =
      std::ranges::find(this->scenario.nodes, node, &NodeSetup::name);
  InternalCheck(found != this->scenario.nodes.end(),
                "a scenario names only nodes of its set-up");
  return *found;
}

void Site::Start(const std::string& node) {
  if (this->world.IncarnationOf(node) != Incarnation{}) {
    return;
  }
  const NodeSetup& setup = this->Setup(node);
  const Incarnation incarnation = this->world.StartProcess(node);
  if (setup.rank >= 0) {
    this->map_agent_runs.push_back(
        std::make_unique<MapAgentPerformer>(*this, setup, incarnation));
  } else if (setup.kind == NodeKind::kEntryHost) {
    this->entry_host_runs.push_back(
        std::make_unique<EntryHostPerformer>(*this, setup, incarnation));
    this->entry_hosts[node] = this->entry_host_runs.back().get();
  } else {
    this->agent_runs.push_back(
        std::make_unique<AgentPerformer>(*this, setup, incarnation));
    this->agents[node] = this->agent_runs.back().get();
  }
}

void Site::End(const std::string& node, NodeFact fact) {
  const Incarnation incarnation = this->world.IncarnationOf(node);
  if (incarnation == Incarnation{}) {
    return;
  }
  this->world.EndProcess(node, fact);
  if (this->Setup(node).rank >= 0) {
    return;
  }
  if (this->entry_hosts.contains(node)) {
    for (const auto& entry : this->agents) {
      const std::string name = entry.first;
      this->world.network.Send(node, name, [=, this] {
        this->world.InProcess(name, this->world.IncarnationOf(name), [=, this] {
          this->agents.at(name)->OnLinkClosed({node, incarnation});
        });
      });
    }
    for (const CallerAsked& asked : std::vector(this->world.seen.asked)) {
      if (asked.entry_host == node && asked.time <= this->world.Now()) {
        // The caller's connection breaks.
        this->TellCaller(asked.request, CallerOutcome::kUnknown,
                         ResultCode::kOutcomeUnknown, {}, true);
      }
    }
    return;
  }
  for (const auto& entry : this->entry_hosts) {
    const std::string name = entry.first;
    this->world.network.Send(node, name, [=, this] {
      this->world.InProcess(name, this->world.IncarnationOf(name), [=, this] {
        this->entry_hosts.at(name)->OnLinkClosed({node, incarnation});
      });
    });
  }
}

void Site::ShutDown(const std::string& node) {
  const Incarnation incarnation = this->world.IncarnationOf(node);
  this->world.InProcess(node, incarnation, [=, this] {
    if (this->Setup(node).kind == NodeKind::kEntryHost) {
      this->entry_hosts.at(node)->ShutDown();
    } else {
      this->agents.at(node)->Leave(true);
    }
  });
}

void Site::Stall(const std::string& node, TimePoint until) {
  const NodeSetup& setup = this->Setup(node);
  if (setup.rank >= 0) {
    this->groups.at(setup.service)->StallUntil(setup.rank, until);
  } else {
    this->endpoints.at(node)->StallUntil(until);
  }
}

void Site::TurnCold(const std::string& node) {
  const NodeSetup& setup = this->Setup(node);
  if (setup.rank >= 0) {
    // For a rank, cold means a new engine process without a map.
    this->groups.at(setup.service)->Restart(setup.rank);
  } else {
    this->endpoints.at(node)->TurnCold();
  }
}

void Site::RestartEngine(const std::string& node) {
  const NodeSetup& setup = this->Setup(node);
  if (setup.rank >= 0) {
    this->groups.at(setup.service)->Restart(setup.rank);
  } else {
    this->endpoints.at(node)->Restart();
  }
  this->world.Reach(Moment::kEngineRestarted, node);
}

void Site::ListAsLeaving(const std::string& node) {
  const Incarnation incarnation = this->world.IncarnationOf(node);
  this->world.InProcess(node, incarnation,
                        [=, this] { this->agents.at(node)->Leave(false); });
}

std::string Site::KeyText(const std::string& key) const {
  // Issued at the start of the run, so that repeats of a key are equal.
  const auto start = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->world.WallNow().time_since_epoch() -
      this->world.Now().time_since_epoch());
  return std::to_string(start.count()) + "-" + key;
}

void Site::Ask(const Action& action) {
  this->world.seen.asked.push_back({.time = this->world.Now(),
                                    .request = action.subject,
                                    .kind = action.request_kind,
                                    .key = action.key,
                                    .service = action.service,
                                    .entry_host = action.entry_host});
  this->world.Trace("caller asks " + action.subject + " of " +
                    action.entry_host);
  const Incarnation incarnation = this->world.IncarnationOf(action.entry_host);
  if (incarnation == Incarnation{}) {
    // Nothing listens: the connection is refused.
    this->TellCaller(action.subject, CallerOutcome::kRefused,
                     ResultCode::kNotReady, {});
    return;
  }
  this->world.InProcess(action.entry_host, incarnation, [=, this] {
    this->entry_hosts.at(action.entry_host)->OnRequest(action);
  });
}

void Site::TellCaller(const std::string& request,
                      CallerOutcome outcome,
                      ResultCode code,
                      const std::string& answer,
                      bool connection_broke) {
  const bool told = std::ranges::any_of(
      this->world.seen.told,
      [&](const CallerTold& entry) { return entry.request == request; });
  if (told) {
    return;
  }
  this->world.seen.told.push_back({.time = this->world.Now(),
                                   .request = request,
                                   .outcome = outcome,
                                   .code = code,
                                   .answer = answer,
                                   .connection_broke = connection_broke});
  if (this->world.tracing) {
    this->world.Trace("caller of " + request + " is told " +
                      std::string(DescribeResultCode(code).name) + " '" +
                      answer + "'");
  }
}

void Site::Send(const Sender& sender,
                const std::string& receiver,
                const Message& message) {
  this->world.Send(sender.name, sender.incarnation, receiver, [=, this] {
    if (this->entry_hosts.contains(receiver)) {
      this->entry_hosts.at(receiver)->OnMessage(sender, message);
    } else if (this->agents.contains(receiver)) {
      this->agents.at(receiver)->OnMessage(sender, message);
    }
  });
}

void Site::Apply(const Fault& fault) {
  this->world.seen.faults.push_back(
      {.time = this->world.Now(), .fault = fault});
  if (this->world.tracing) {
    this->world.Trace("fault " + DescribeFault(fault));
  }
  switch (fault.kind) {
    case FaultKind::kRankStall:
      this->Stall(fault.target, this->world.Now() + fault.duration);
      break;
    case FaultKind::kLateMessages:
    case FaultKind::kDoubledMessages:
    case FaultKind::kLostMessages:
    case FaultKind::kCutFromPlatform:
    case FaultKind::kCutDataCentres:
      this->world.network.Apply(fault);
      break;
    case FaultKind::kProcessDeath:
      this->End(fault.target, NodeFact::kProcessDied);
      break;
    case FaultKind::kPause:
      this->world.PauseProcess(fault.target, fault.duration);
      break;
    case FaultKind::kTurnCold:
      this->TurnCold(fault.target);
      break;
    case FaultKind::kLogDown:
    case FaultKind::kLogSlow:
    case FaultKind::kLogAnswersLost:
      this->world.log.Apply(fault);
      break;
    case FaultKind::kOperatorsRace:
      if (this->groups.contains(fault.target)) {
        ++this->wanted_maps[fault.target];
        this->racing_groups.insert(fault.target);
        break;
      }
      PublishDataCentre(*this, "operator-1", fault.target, true);
      PublishDataCentre(*this, "operator-2", fault.target, false);
      break;
  }
}

}  // namespace toucanhollow
