#include "map_task/coordinator_task.h"

#include <algorithm>
#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// A crashed coordinator is replaced this long after its last join. The store
// accepts no less than 1 s.
constexpr Duration kMembershipTimeToLive = Milliseconds(1500);
constexpr Duration kJoinPeriod = Milliseconds(500);
// A slow store takes 350 ms.
constexpr Duration kJoinTimeout = Milliseconds(600);
// Time allowed for a new connection and a join on it.
constexpr Duration kRejoinTime = Milliseconds(400);
// A membership outlasts a connection that falls silent just after a join.
static_assert(kJoinPeriod + kJoinTimeout + kRejoinTime <=
              kMembershipTimeToLive);
static_assert(kMembershipTimeToLive <= kIssuerLeaseTime);
// A process that is shutting down has some seconds to reach a store that is
// unreachable at first.
constexpr Duration kLeaveRetryPeriod = Milliseconds(300);

}  // namespace

CoordinatorTask::CoordinatorTask(
    EventLoop& loop,
    const EngineMapCodec& codec,
    CoordinatorElectionSettings election,
    std::function<void(const JoinAnswer&)> on_joined)
    : loop(loop),
      client(loop, 1),
      codec(codec),
      election(std::move(election)),
      on_joined(std::move(on_joined)) {
  this->Join();
}

CoordinatorTask::~CoordinatorTask() {
  this->client.Cancel(this->call);
}

HttpCall CoordinatorTask::MakeLeaveCall() const {
  HttpCall request =
      this->codec.leave_call(this->election.store, this->election.member);
  request.connect_timeout = kJoinTimeout;
  request.total_timeout = kJoinTimeout;
  request.repeatable = true;
  return request;
}

void CoordinatorTask::LeaveThenJoin() {
  this->call = this->client.Start(
      this->MakeLeaveCall(), {nullptr, nullptr, [this](const HttpOutcome&) {
                                // The term may be ended again until the next
                                // join is answered.
                                this->ends_term = false;
                                this->Join();
                              }});
  this->timer.reset();
}

void CoordinatorTask::Join() {
  if (std::exchange(this->ends_term, false)) {
    this->LeaveThenJoin();
    return;
  }
  // The store would take the generation of an earlier era, which may be higher,
  // as a confirmation of assignments that this member has not seen.
  const StorePosition& last = this->current_term.generation;
  HttpCall request = this->codec.join_call(
      this->election.store, this->election.member,
      last.era == this->era ? last.number : 0, kMembershipTimeToLive);
  request.connect_timeout = kJoinTimeout;
  request.total_timeout = kJoinTimeout;
  request.repeatable = true;
  request.connection =
      this->last_join_failed ? ConnectionUse::kNew : ConnectionUse::kShared;
  this->asked_at = EventLoop::BootNow();
  this->call = this->client.Start(
      std::move(request),
      {nullptr, nullptr,
       [this](const HttpOutcome& outcome) { this->OnJoined(outcome); }});
  this->timer.reset();
}

void CoordinatorTask::OnJoined(const HttpOutcome& outcome) {
  if (this->leaving) {
    return;
  }
  const bool joined =
      outcome.end == HttpEnd::kComplete && outcome.status == 200;
  const bool failed_before = std::exchange(this->last_join_failed, !joined);
  // The connection may have fallen silent, so a new one is tried at once.
  const bool at_once = !joined && !failed_before && outcome.status == 0;
  // The next join is planned before the answer is used, and repeated until one
  // is on its way, as an exception must not end the membership.
  this->timer =
      std::make_unique<Timer>(this->loop, at_once ? Duration(0) : kJoinPeriod,
                              kJoinPeriod, [this] { this->Join(); });
  const bool answered =
      outcome.end == HttpEnd::kComplete && outcome.status != 0;
  if (answered && this->UpdateEra(outcome) && joined) {
    this->ApplyAssignment(outcome);
  }
}

bool CoordinatorTask::UpdateEra(const HttpOutcome& outcome) {
  const Result<StoreEra> named = this->codec.decode_era(outcome.headers);
  if (!named) {
    this->LogUnusedAnswer(named.error().detail);
    return false;
  }
  if (named.value() < this->era) {
    this->LogUnusedAnswer("the answer is of an older era of the store");
    return false;
  }
  this->unused_because.clear();
  if (named.value() > this->era) {
    LogJsonNow("coordinator_era_changed",
               {{"era", named.value().value},
                {"era_before", this->era.value},
                {"generation_before", this->current_term.generation.number}});
    this->era = named.value();
  }
  return true;
}

void CoordinatorTask::LogUnusedAnswer(std::string_view detail) {
  if (detail != this->unused_because) {
    this->unused_because = detail;
    LogJsonNow("coordinator_answer_unused", {{"detail", detail}});
  }
}

void CoordinatorTask::ApplyAssignment(const HttpOutcome& outcome) {
  const Result<MemberAssignment> assignment =
      this->codec.decode_assignment(outcome.body);
  if (!assignment) {
    LogJsonNow("coordinator_answer_malformed",
               {{"detail", std::string_view(assignment.error().detail)}});
    return;
  }
  CoordinatorTerm term;
  term.generation = {this->era, assignment.value().generation};
  term.is_coordinator = std::ranges::find(assignment.value().partitions,
                                          this->election.partitions - 1) !=
                        assignment.value().partitions.end();
  if (term.is_coordinator != this->current_term.is_coordinator) {
    LogJsonNow("coordinator_changed", {{"is_coordinator", term.is_coordinator},
                                       {"era", term.generation.era.value},
                                       {"generation", term.generation.number}});
  }
  if (term.generation != this->current_term.generation) {
    this->ends_term = false;
  }
  this->current_term = term;
  if (this->on_joined) {
    this->on_joined({term.generation, term.is_coordinator, this->asked_at,
                     EventLoop::BootNow()});
  }
}

void CoordinatorTask::Leave() {
  this->leaving = true;
  this->client.Cancel(this->call);
  this->call = this->client.Start(
      this->MakeLeaveCall(),
      {nullptr, nullptr, [this](const HttpOutcome& outcome) {
         if (outcome.end == HttpEnd::kComplete && outcome.status == 200) {
           this->current_term.is_coordinator = false;
           LogJsonNow("coordinator_left", {});
           return;
         }
         this->timer =
             std::make_unique<Timer>(this->loop, kLeaveRetryPeriod, Duration(0),
                                     [this] { this->Leave(); });
       }});
  this->timer.reset();
}

}  // namespace toucanhollow
