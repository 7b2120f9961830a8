// One run of an entry host: carries out the actions of the request lifecycle
// over links to the agents and, for voids, over the log.
#ifndef SCENARIO_ENTRY_HOST_PERFORMER_H_
#define SCENARIO_ENTRY_HOST_PERFORMER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "idempotency/void_watch.h"
#include "request/on_event.h"
#include "routing/routing_view.h"
#include "scenario/site.h"
#include "wire/message.h"

namespace toucanhollow {

// Time that a caller of a scenario gives a request.
constexpr Duration kScenarioDeadline = Seconds(5);

class EntryHostPerformer {
 public:
  EntryHostPerformer(Site& site,
                     const NodeSetup& setup,
                     Incarnation incarnation);

  void OnRequest(const Action& action);
  void OnMessage(const Sender& sender, const Message& message);
  // The link to a run of an agent has closed.
  void OnLinkClosed(const Sender& agent);
  void OnDataCentreRecord(const std::string& data_centre, bool out);
  // SIGTERM.
  void ShutDown();

 private:
  struct Request {
    Action action;
    RequestLife life;
    Dispatch dispatch;
    TimePoint deadline{};
    std::vector<EndpointName> excluded;
  };
  // What the entry host knows about an agent.
  struct AgentView {
    Incarnation incarnation;
    TimePoint last_heard{};
  };

  Sender Self() const;
  void Feed(const std::string& name, const RequestEvent& event);
  void Perform(const std::string& name, const RequestAction& action);
  void StartAttemptFor(const std::string& name, const StartAttempt& action);
  Result<EndpointName> Choose(const Request& request);
  RoutingView& ViewFor(const std::string& service);
  void NoteSilence(const std::string& agent, bool silent);
  Request* Find(const DispatchId& id);
  void Void(const std::string& name, const DispatchId& id);
  void AppendVoid(const DispatchId& id);
  void SettleVoids();
  void OnClaimsRead(const LogRead& read);
  void FailAttempts(const std::string& agent,
                    std::optional<Incarnation> incarnation,
                    const Failure& failure);
  void Tell(const std::string& name, CallerOutcome outcome, ResultCode code);
  void Watch();

  Site& site;
  World& world;
  NodeSetup setup;
  Incarnation incarnation;
  std::map<std::string, Request> requests;
  std::map<DispatchId, std::string> request_of;
  std::map<DispatchId, VoidWatch> watches;
  std::set<DispatchId> voiding;
  std::map<std::string, AgentView> agents;
  std::map<std::string, RoutingView> views;
  LogOffset next_claim = 1;
  int dispatches = 0;
  bool shutting_down = false;
};

}  // namespace toucanhollow

#endif  // SCENARIO_ENTRY_HOST_PERFORMER_H_
