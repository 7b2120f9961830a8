// One run of an entry host: carries out the actions of the request lifecycle
// over links to the agents and, for voids, over the log.
#ifndef SCENARIO_ENTRY_HOST_PERFORMER_H_
#define SCENARIO_ENTRY_HOST_PERFORMER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "idempotency/void_watch.h"
#include "membership/drain.h"
#include "membership/membership_state.h"
#include "overload/budget.h"
#include "overload/fair_queue.h"
#include "request/on_event.h"
#include "routing/routing_view.h"
#include "scenario/config_holder.h"
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
  // SIGTERM.
  void ShutDown();

 private:
  struct Request {
    Action action;
    RequestState state;
    Dispatch dispatch;
    TimePoint deadline{};
    std::vector<EndpointName> excluded;
  };
  struct Choice {
    EndpointName endpoint;
    bool has_free_slot = false;
  };

  Sender Self() const;
  // Requests.
  void Feed(const std::string& name, const RequestEvent& event);
  void Perform(const std::string& name, const RequestAction& action);
  void Retry(const std::string& name, bool spends_retry);
  void Queue(const std::string& name);
  void Pump();
  // False if no endpoint has a free slot now.
  bool StartAttemptFor(const std::string& name);
  Result<Choice> Choose(const Request& request);
  Result<Choice> ChooseHome(const Request& request);
  void Tell(const std::string& name, CallerOutcome outcome, ResultCode code);
  // Agents.
  RoutingView& ViewFor(const std::string& service);
  Request* Find(const DispatchId& id);
  void OnReply(const Sender& sender, const Message& message);
  void OnHeartbeatOf(const Sender& sender, const Heartbeat& heartbeat);
  void FailAttempts(const std::string& agent,
                    const std::function<bool(const Attempt&)>& fails,
                    const Failure& failure);
  void Watch();
  // Voids.
  void AppendVoid(const DispatchId& id);
  void SettleVoids();
  void OnClaimsRead(const LogRead& read);
  // Configuration.
  void OnConfigRead(const LogRead& read);
  void ApplyConfig();
  void SendSnapshots();
  void SendHeartbeats();
  void Refresh();
  void StepDrain();

  Site& site;
  World& world;
  NodeSetup setup;
  Incarnation incarnation;
  std::map<std::string, Request> requests;
  std::map<DispatchId, std::string> request_of;
  // The last dispatch sent to each agent.
  std::map<std::string, DispatchId> last_dispatch;
  std::map<std::string, FairQueue> queues;
  Budget retry_budget = MakeRetryBudget();
  std::map<std::string, RoutingView> views;
  MembershipState members;
  std::map<DispatchId, VoidWatch> watches;
  std::set<DispatchId> voiding;
  LogOffset next_claim = 1;
  ConfigHolder config;
  bool log_reached = false;
  LogOffset config_end = 0;
  EntryDrain drain;
  int dispatches = 0;
};

}  // namespace toucanhollow

#endif  // SCENARIO_ENTRY_HOST_PERFORMER_H_
