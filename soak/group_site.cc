#include "soak/group_site.h"

#include <algorithm>
#include <utility>

#include "http_message/http_message.h"

namespace toucanhollow {
namespace {

constexpr int kSlots = 6;
constexpr int kEvents = 8;
constexpr Duration kSendPeriod = Milliseconds(25);
constexpr Duration kPass = Milliseconds(20);
constexpr Duration kDemandPeriod = Milliseconds(2500);
// Work of a group that makes no passes is cut off after this time.
constexpr Duration kStall = Milliseconds(800);
constexpr Duration kFirstFault = Milliseconds(2000);
constexpr unsigned int kShortestGapMs = 400;
constexpr unsigned int kGapSpreadMs = 2500;
constexpr Duration kRankRestart = Milliseconds(600);
// One order in so many comes late and without an answer.
constexpr int kLateEvery = 9;

// Demand of which two experts of each set have most.
std::vector<std::vector<double>> UnevenDemand(const EngineGroupShape& shape) {
  std::vector<std::vector<double>> demand;
  for (int set = 0; set < shape.sets; ++set) {
    std::vector<double> chosen(shape.experts, 10);
    chosen[set] = 200;
    chosen[set + 3] = 150;
    demand.push_back(chosen);
  }
  return demand;
}

std::string Answer(const std::string& id) {
  std::string text;
  for (int event = 1; event <= kEvents; ++event) {
    text += EventText(id, event);
  }
  return text;
}

}  // namespace

std::string GroupServiceText() {
  const EngineGroupShape shape;
  return R"({"name":"model","max_conns":300,"engine":{"slots":)" +
         std::to_string(kSlots) + R"(,"sets":)" + std::to_string(shape.sets) +
         R"(,"places":)" + std::to_string(shape.places) +
         R"(,"spare":2,"expert_mb":10,"link_mbps":1000}})";
}

std::string GroupRouteText() {
  return R"({"name":"model","host":"h","path_prefix":"/g/",)"
         R"("kind":"streaming","timeout_ms":3000,"attempts":2,)"
         R"("resumable":true,"target_latency_ms":400,"priority":1,)"
         R"("service":"model"})";
}

struct GroupSite::Rank {
  EngineGroupStandIn* group = nullptr;
  int number = 0;
  Address address;
  // Of its starts.
  int incarnation = 0;

  std::string Id() const {
    return "m-" + this->address.ip + "-" + std::to_string(this->incarnation);
  }
};

struct GroupSite::Stream {
  Rank* rank = nullptr;
  std::string request;
  std::shared_ptr<HttpResponseWriter> writer;
  std::int64_t step = 0;
  int next_event = 1;
  bool begun = false;
  TimePoint advanced_at;
};

GroupSite::GroupSite(EventLoop& loop,
                     FaultLog& log,
                     PlatformStoreStandIn& store,
                     Ledger& ledger,
                     std::vector<HostView> hosts,
                     ModelSiteOptions options)
    : loop(loop),
      log(log),
      store(store),
      ledger(ledger),
      hosts(std::move(hosts)),
      options(std::move(options)),
      random(this->options.seed ^ 0x85ebca6bU) {
  for (int first = 0; first + this->options.ranks <= this->options.servers;
       first += this->options.ranks) {
    EngineGroupShape shape;
    shape.ranks = this->options.ranks;
    shape.name = "g" + std::to_string(first / this->options.ranks);
    for (int rank = 0; rank < this->options.ranks; ++rank) {
      shape.ips.push_back(this->options.server_ip(first + rank));
    }
    this->groups.push_back(std::make_unique<EngineGroupStandIn>(loop, shape));
    EngineGroupStandIn& group = *this->groups.back();
    group.demand = UnevenDemand(shape);
    group.late_every = kLateEvery;
    for (int number = 0; number < this->options.ranks; ++number) {
      auto rank = std::make_unique<Rank>();
      rank->group = &group;
      rank->number = number;
      rank->address = {shape.ips[number], group.Port(number)};
      this->agents.push_back(StartAgent(
          loop, log, ledger,
          {this->options.program, this->options.directory,
           this->options.agent_port, rank->address,
           this->options.first_signal_after,
           this->options.signals_while_loading,
           this->options.signals_blocked_at_start, this->options.limits}));
      this->Register(*rank, "ready");
      this->ranks.push_back(std::move(rank));
    }
    const std::size_t base = this->ranks.size() - this->options.ranks;
    group.serve = [this, base](
                      int number, const HttpRequest& request,
                      const std::shared_ptr<HttpResponseWriter>& writer) {
      this->Serve(*this->ranks[base + number], request, writer);
    };
  }
}

GroupSite::~GroupSite() {
  this->streams.clear();
  for (const auto& rank : this->ranks) {
    if (rank->group->IsRunning(rank->number)) {
      rank->group->StopRank(rank->number);
    }
  }
}

std::vector<SupervisedProcess*> GroupSite::Agents() const {
  std::vector<SupervisedProcess*> all;
  all.reserve(this->agents.size());
  for (const auto& agent : this->agents) {
    all.push_back(agent.get());
  }
  return all;
}

int GroupSite::switches() const {
  int sum = 0;
  for (const auto& group : this->groups) {
    sum += group->switches();
  }
  return sum;
}

void GroupSite::Register(const Rank& rank, const std::string& state) {
  constexpr std::int64_t kFirstBorn = 1'700'000'000'000;
  this->store.Put("keyed.servers", rank.Id(),
                  R"({"service":"model","address":")" + rank.address.ip + ":" +
                      std::to_string(rank.address.port) +
                      R"(","zone":"west","slots":)" + std::to_string(kSlots) +
                      R"(,"state":")" + state + R"(","born":)" +
                      std::to_string(kFirstBorn + rank.incarnation) + "}");
}

void GroupSite::Start() {
  this->faults_until = EventLoop::Now() + this->options.faults_for;
  PromptLoadOptions load;
  load.name = "g";
  load.target = "/g/model";
  load.period = kSendPeriod;
  load.seed = this->random();
  load.draw = [](std::mt19937&) { return Prompt{}; };
  load.answer = Answer;
  load.arrived = [this](const std::string& id) {
    return this->arrived.contains(id);
  };
  load.keeps_connections = this->options.largest_body > 0;
  load.largest_body = this->options.largest_body;
  load.broke_off = [this](const std::string& id) {
    return this->broken_off.contains(id);
  };
  this->load = std::make_unique<PromptLoad>(this->loop, this->ledger,
                                            this->hosts, std::move(load));
  this->pass_timer = std::make_unique<Timer>(
      this->loop, kPass, kPass, [this] { this->AdvanceStreams(); });
  this->demand_timer =
      std::make_unique<Timer>(this->loop, kDemandPeriod, kDemandPeriod, [this] {
        for (const auto& group : this->groups) {
          for (auto& set : group->demand) {
            std::ranges::reverse(set);
          }
        }
      });
  this->fault_timer = std::make_unique<Timer>(
      this->loop, kFirstFault, Duration(0), [this] { this->DrawFault(); });
}

void GroupSite::Serve(Rank& rank,
                      const HttpRequest& request,
                      const std::shared_ptr<HttpResponseWriter>& writer) {
  const std::string id(
      FindHeader(request.headers, "X-Toucanhollow-Request-Id"));
  if (FindHeader(request.headers, "X-Toucanhollow-Expect-Instance") !=
      rank.Id()) {
    writer->Respond(421, {{"X-Toucanhollow-Request-Id", id}}, "");
    return;
  }
  this->arrived.insert(id);
  CheckPromptBody(this->ledger, id, request.body, this->options.largest_body);
  auto stream = std::make_unique<Stream>();
  stream->rank = &rank;
  stream->request = id;
  stream->writer = writer;
  stream->step = rank.group->step();
  stream->next_event = NextEvent(
      ParseDecimal(FindHeader(request.headers, "Last-Event-Id")).value_or(0));
  stream->advanced_at = EventLoop::Now();
  this->streams.push_back(std::move(stream));
}

void GroupSite::AdvanceStreams() {
  const TimePoint now = EventLoop::Now();
  for (auto& stream : this->streams) {
    HttpResponseWriter& writer = *stream->writer;
    const std::int64_t step = stream->rank->group->step();
    if (writer.HasCallerDisconnected()) {
      stream.reset();
    } else if (step != stream->step) {
      stream->step = step;
      stream->advanced_at = now;
      if (!std::exchange(stream->begun, true)) {
        writer.Start(200, {{"X-Toucanhollow-Request-Id", stream->request},
                           {"X-Toucanhollow-Response-Seal", "seal"},
                           {"Content-Type", "text/event-stream"}});
      }
      writer.Write(EventText(stream->request, stream->next_event));
      if (stream->next_event++ == kEvents) {
        writer.End();
        stream.reset();
      }
    } else if (now - stream->advanced_at > kStall) {
      this->broken_off.insert(stream->request);
      if (stream->begun) {
        writer.Abort();
      } else {
        writer.Respond(503,
                       {{"X-Toucanhollow-Request-Id", stream->request},
                        {"X-Toucanhollow-Not-Executed", "1"}},
                       "");
      }
      stream.reset();
    }
  }
  std::erase(this->streams, nullptr);
}

void GroupSite::After(Duration delay, std::function<void()> action) {
  this->timers.push_back(std::make_unique<Timer>(this->loop, delay, Duration(0),
                                                 std::move(action)));
}

// As in a crash: nothing tells the store.
void GroupSite::Stop(Rank& rank) {
  if (!rank.group->IsRunning(rank.number)) {
    return;
  }
  std::erase_if(this->streams, [this, &rank](const auto& stream) {
    if (stream->rank == &rank) {
      this->broken_off.insert(stream->request);
      stream->writer->Abort();
    }
    return stream->rank == &rank;
  });
  rank.group->StopRank(rank.number);
  this->After(kRankRestart, [this, &rank] { this->Restart(rank); });
}

void GroupSite::Restart(Rank& rank) {
  const std::string old = rank.Id();
  ++rank.incarnation;
  rank.group->StartRank(rank.number);
  this->store.Put("keyed.servers", old, std::nullopt);
  this->Register(rank, "ready");
}

void GroupSite::DrawFault() {
  if (EventLoop::Now() >= this->faults_until) {
    return;
  }
  const unsigned int which = this->random() % this->ranks.size();
  Rank& rank = *this->ranks[which];
  const unsigned int kind = this->random() % 4;
  this->log.Note({{"fault", "group"}, {"kind", kind}, {"rank", rank.Id()}});
  switch (kind) {
    case 0:
      this->agents[which]->Kill(Duration(0));
      break;
    case 1:
      this->Stop(rank);
      break;
    case 2:
      // It leaves as planned.
      this->Register(rank, "draining");
      this->After(2 * kDrainBound, [this, &rank] { this->Stop(rank); });
      break;
    default:
      // The group forms anew without a crash.
      if (rank.group->open) {
        rank.group->FormAgain();
      }
      break;
  }
  this->fault_timer = std::make_unique<Timer>(
      this->loop, Milliseconds(kShortestGapMs + this->random() % kGapSpreadMs),
      Duration(0), [this] { this->DrawFault(); });
}

void GroupSite::Check() {
  for (const auto& group : this->groups) {
    if (group->mixed_passes() > 0) {
      NoteBroken(this->ledger, std::to_string(group->mixed_passes()) +
                                   " passes began while ranks of a group had "
                                   "different maps");
    }
  }
}

}  // namespace toucanhollow
