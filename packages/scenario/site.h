// All parts of one run: the world, the endpoints, and the performers, which
// carry out the actions that the deciding functions return.
#ifndef SCENARIO_SITE_H_
#define SCENARIO_SITE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "idempotency/claims_record.h"
#include "scenario/fake_endpoint.h"
#include "scenario/payload_store.h"
#include "scenario/scenario.h"
#include "scenario/world.h"
#include "wire/message.h"

namespace toucanhollow {

class AgentPerformer;
class EntryHostPerformer;
class FakeGroup;
class MapAgentPerformer;

// Where a message comes from: one run of a process.
struct Sender {
  std::string name = {};
  Incarnation incarnation = {};
};

class Site {
 public:
  Site(const Scenario& scenario, Defect defect, bool tracing);
  ~Site();

  // Starts a process unless it runs.
  void Start(const std::string& node);
  // Ends the present run of a process; its links and callers notice.
  void End(const std::string& node, NodeFact fact);
  // SIGTERM to a process.
  void ShutDown(const std::string& node);
  // The host list names the endpoint as leaving.
  void ListAsLeaving(const std::string& node);
  void RestartEngine(const std::string& node);
  // A caller sends a request to an entry host.
  void Ask(const Action& action);
  void TellCaller(const std::string& request,
                  CallerOutcome outcome,
                  ResultCode code,
                  const std::string& answer,
                  bool connection_broke = false);
  // The Idempotency-Key header of a key of the scenario.
  std::string KeyText(const std::string& key) const;
  void Apply(const Fault& fault);
  void Send(const Sender& sender,
            const std::string& receiver,
            const Message& message);

  // Everything that was observed, at the end of the run.
  Observations Finish();

  const NodeSetup& Setup(const std::string& node) const;

  Scenario scenario;
  World world;
  PayloadStore<std::vector<ClaimsRecord>> claims;
  std::map<std::string, std::unique_ptr<FakeEndpoint>> endpoints;
  std::map<std::string, std::unique_ptr<FakeGroup>> groups;
  // How many map changes each group was asked for.
  std::map<std::string, int> wanted_maps;
  // Groups in which every agent proposes, as if each had been asked.
  std::set<std::string> racing_groups;
  // The present run of each process; earlier runs are kept until the end,
  // because undelivered callbacks refer to them.
  std::map<std::string, AgentPerformer*> agents;
  std::map<std::string, EntryHostPerformer*> entry_hosts;

 private:
  void Stall(const std::string& node, TimePoint until);
  void TurnCold(const std::string& node);

  std::vector<std::unique_ptr<AgentPerformer>> agent_runs;
  std::vector<std::unique_ptr<EntryHostPerformer>> entry_host_runs;
  std::vector<std::unique_ptr<MapAgentPerformer>> map_agent_runs;
};

}  // namespace toucanhollow

#endif  // SCENARIO_SITE_H_
