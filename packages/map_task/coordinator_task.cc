#include "map_task/coordinator_task.h"

#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// A dead coordinator is replaced this long after its last sign. The store
// takes no less than 1 s.
constexpr Duration kTimeToLive = Milliseconds(1500);
constexpr Duration kJoinPeriod = Milliseconds(500);
constexpr Duration kJoinTimeout = Milliseconds(900);

}  // namespace

CoordinatorTask::CoordinatorTask(EventLoop& loop,
                                 HttpClient& client,
                                 const EngineMapCodec& codec,
                                 Address store,
                                 std::string member)
    : loop(loop),
      client(client),
      codec(codec),
      store(std::move(store)),
      member(std::move(member)) {
  this->Join();
}

CoordinatorTask::~CoordinatorTask() {
  this->client.Cancel(this->call);
}

void CoordinatorTask::Join() {
  HttpCall request = this->codec.join_call(
      this->store, this->member, this->current.generation, kTimeToLive);
  request.connect_timeout = kJoinTimeout;
  request.total_timeout = kJoinTimeout;
  request.repeatable = true;
  this->call = this->client.Start(
      std::move(request),
      {nullptr, nullptr, [this](const HttpOutcome& outcome) {
         if (this->leaving) {
           return;
         }
         if (outcome.end == HttpEnd::kComplete && outcome.status == 200) {
           const Result<CoordinatorTerm> term =
               this->codec.decode_term(outcome.body);
           if (!term) {
             LogJsonNow("coordinator_answer_malformed",
                        {{"detail", std::string_view(term.error().detail)}});
           } else {
             if (term.value().is_coordinator != this->current.is_coordinator) {
               LogJsonNow("coordinator_changed",
                          {{"is_coordinator", term.value().is_coordinator},
                           {"generation", term.value().generation}});
             }
             this->current = term.value();
           }
         }
         this->timer = std::make_unique<Timer>(
             this->loop, kJoinPeriod, Duration(0), [this] { this->Join(); });
       }});
}

void CoordinatorTask::Leave() {
  this->leaving = true;
  this->timer.reset();
  this->current.is_coordinator = false;
  HttpCall request = this->codec.leave_call(this->store, this->member);
  request.total_timeout = kJoinTimeout;
  this->client.Start(std::move(request),
                     {nullptr, nullptr, [](const HttpOutcome&) {}});
}

}  // namespace toucanhollow
