// One run of an endpoint agent: carries out the actions of admission and
// idempotency at a fake endpoint.
#ifndef SCENARIO_AGENT_PERFORMER_H_
#define SCENARIO_AGENT_PERFORMER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_state.h"
#include "idempotency/claim_agent.h"
#include "membership/drain.h"
#include "scenario/config_holder.h"
#include "scenario/fake_endpoint.h"
#include "scenario/site.h"
#include "wire/message.h"

namespace toucanhollow {

class AgentPerformer {
 public:
  AgentPerformer(Site& site, const NodeSetup& setup, Incarnation incarnation);

  void OnMessage(const Sender& sender, const Message& message);
  // The link to a run of an entry host has closed.
  void OnLinkClosed(const Sender& entry_host);
  // Begins to leave; with `exits`, as on SIGTERM, the process ends when its
  // work is done.
  void Leave(bool exits);

 private:
  struct Open {
    Dispatch dispatch;
    Sender sender;
    std::optional<std::size_t> run;
    TimePoint started{};
    std::optional<TimePoint> first_piece;
    int pieces = 0;
  };

  Sender Self() const;
  void Reply(const Sender& to, const Message& message);
  void Refuse(const DispatchId& id, ResultCode code, bool frees_slot);
  void OnDispatch(const Sender& sender, Dispatch dispatch);
  void OnCancel(const DispatchId& id);
  void ApplyConfig();
  void Begin(const DispatchId& id);
  void Run(const DispatchId& id);
  void OnPiece(const DispatchId& id, const EndpointPiece& piece);
  void Complete(const DispatchId& id, bool answered);
  void TakeWaitingDispatches();
  void Perform(ClaimStep step);
  void AdvanceClaimsNow();
  void Append(const std::vector<ClaimsRecord>& records);
  void OnClaimsRead(const LogRead& read);
  void Beat();
  void SendHeartbeats();
  void BeatHeart();
  void ExitIfDone();

  Site& site;
  World& world;
  NodeSetup setup;
  Incarnation incarnation;
  FakeEndpoint& endpoint;
  AdmissionState admission;
  ClaimAgent claims;
  std::optional<LogOffset> log_end;
  std::map<DispatchId, Open> open;
  ConfigHolder config;
  AgentDrain drain;
};

// The parameters of admission that every scenario uses.
AdmissionParameters ScenarioAdmission(const NodeSetup& setup);

}  // namespace toucanhollow

#endif  // SCENARIO_AGENT_PERFORMER_H_
