#include "scenario/site.h"

#include <algorithm>
#include <utility>

#include "base/check.h"
#include "scenario/agent_performer.h"
#include "scenario/entry_host_performer.h"

namespace toucanhollow {

Site::Site(const Scenario& scenario, Defect defect, bool tracing)
    : scenario(scenario), world(scenario.seed, defect, tracing) {
  for (const NodeSetup& node : this->scenario.nodes) {
    this->world.network.AddNode(node.name, node.data_centre);
    if (node.kind != NodeKind::kEntryHost) {
      this->endpoints[node.name] = std::make_unique<FakeEndpoint>(
          this->world.queue, this->world.seen, node);
    }
  }
  for (const NodeSetup& node : this->scenario.nodes) {
    this->Start(node.name);
  }
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
  const NodeSetup& setup = this->Setup(node);
  const Incarnation incarnation = this->world.StartProcess(node);
  if (setup.kind == NodeKind::kEntryHost) {
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
  if (this->entry_hosts.contains(node)) {
    for (const CallerAsked& asked : std::vector(this->world.seen.asked)) {
      if (asked.entry_host == node && asked.time <= this->world.Now()) {
        // The caller's connection breaks.
        this->TellCaller(asked.request, CallerOutcome::kUnknown,
                         ResultCode::kOutcomeUnknown, {});
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
                      const std::string& answer) {
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
                                   .answer = answer});
  if (this->world.tracing) {
    this->world.Trace("caller of " + request + " is told " +
                      std::string(DescribeResultCode(code).name) + " '" +
                      answer + "'");
  }
}

void Site::SendToAgent(const Sender& sender,
                       const std::string& agent,
                       const Message& message) {
  this->world.Send(sender.name, sender.incarnation, agent, [=, this] {
    this->agents.at(agent)->OnMessage(sender, message);
  });
}

void Site::SendToEntryHost(const Sender& sender,
                           const std::string& entry_host,
                           const Message& message) {
  this->world.Send(sender.name, sender.incarnation, entry_host, [=, this] {
    this->entry_hosts.at(entry_host)->OnMessage(sender, message);
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
      this->endpoints.at(fault.target)
          ->StallUntil(this->world.Now() + fault.duration);
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
      this->endpoints.at(fault.target)->TurnCold();
      break;
    case FaultKind::kLogDown:
    case FaultKind::kLogSlow:
    case FaultKind::kLogAnswersLost:
      this->world.log.Apply(fault);
      break;
    case FaultKind::kOperatorsRace:
      break;
  }
}

}  // namespace toucanhollow
