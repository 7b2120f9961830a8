#include "soak/prompt_site.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

constexpr char kDeadlyPart[] = "dead0001";
constexpr Duration kSendPeriod = Milliseconds(15);
// One request in so many has the deadly part.
constexpr unsigned int kDeadlyOneIn = 8;
constexpr unsigned int kFirstParts = 5;
constexpr Duration kFirstFault = Milliseconds(1500);
constexpr unsigned int kShortestGapMs = 100;
constexpr unsigned int kGapSpreadMs = 1500;
constexpr unsigned int kDeadlyFromSpreadMs = 3000;
constexpr unsigned int kLongestCrashDelayMs = 500;
// A server that leaves serves on for longer than the drain bound.
constexpr Duration kLeavesAfter = 2 * kDrainBound;
// Of the platform's pages: after the part has crashed kKnownCrashes servers,
// and kStableTime later, kMaxLateArrivals requests with it may still reach
// servers, sent by hosts that were undisturbed for kStableTime.
constexpr std::size_t kKnownCrashes = 5;
constexpr std::size_t kMaxLateArrivals = 3;
constexpr Duration kStableTime = Seconds(3);

Prompt DrawPrompt(std::mt19937& random) {
  Prompt prompt;
  prompt.sound = random() % kDeadlyOneIn != 0;
  const unsigned int first = random() % kFirstParts;
  prompt.parts = "first" + std::to_string(first) + ":40,";
  if (first % 2 == 1) {
    // Never comes alone.
    prompt.parts += "second" + std::to_string(first) + ":60,";
  }
  if (!prompt.sound) {
    prompt.parts += std::string(kDeadlyPart) + ":160,";
  }
  return prompt;
}

// From the first event of the answer; empty if the server writes none. All
// servers of a run have the same, as the deadly part is a fault of the engine.
std::optional<Duration> DrawCrashDelay(unsigned int seed) {
  std::mt19937 random(seed ^ 0x51ed270bU);
  if (random() % 2 == 0) {
    return std::nullopt;
  }
  return Milliseconds(random() % kLongestCrashDelayMs);
}

std::string Answer(const std::string&) {
  std::string text;
  for (int event = 1; event <= CrashingEngineStandIn::kEvents; ++event) {
    text += "id: " + std::to_string(event) + "\ndata: x\n\n";
  }
  return text;
}

}  // namespace

std::string PromptServiceText() {
  return R"({"name":"draft","max_conns":300,"cold_s":3,"cold_per_s":100,)"
         R"("engine":{"slots":6}})";
}

std::string PromptRouteText() {
  return R"({"name":"prompt","host":"h","path_prefix":"/p/",)"
         R"("kind":"streaming","timeout_ms":3000,"attempts":2,)"
         R"("resumable":true,"target_latency_ms":400,"priority":1,)"
         R"("service":"draft"})";
}

PromptSite::PromptSite(EventLoop& loop,
                       FaultLog& log,
                       PlatformStoreStandIn& store,
                       Ledger& ledger,
                       std::vector<HostView> hosts,
                       ModelSiteOptions options)
    : loop(loop),
      log(log),
      ledger(ledger),
      hosts(std::move(hosts)),
      options(std::move(options)),
      // The other faults of the soak are drawn from the seed itself.
      random(this->options.seed ^ 0x9e3779b9U) {
  for (int number = 0; number < this->options.servers; ++number) {
    this->engines.push_back(std::make_unique<CrashingEngineStandIn>(
        loop, store, "draft", this->options.server_ip(number)));
    this->agents.push_back(StartAgent(
        loop, log, ledger,
        {this->options.program, this->options.directory,
         this->options.agent_port, this->engines.back()->address(),
         this->options.first_signal_after, this->options.signals_while_loading,
         this->options.signals_blocked_at_start, this->options.limits}));
  }
}

PromptSite::~PromptSite() = default;

std::vector<SupervisedProcess*> PromptSite::Agents() const {
  std::vector<SupervisedProcess*> all;
  all.reserve(this->agents.size());
  for (const auto& agent : this->agents) {
    all.push_back(agent.get());
  }
  return all;
}

void PromptSite::Start() {
  this->faults_until = EventLoop::Now() + this->options.faults_for;
  PromptLoadOptions load;
  load.name = "p";
  load.target = "/p/draft";
  load.period = kSendPeriod;
  load.seed = this->random();
  load.draw = DrawPrompt;
  load.answer = Answer;
  load.arrived = [this](const std::string& id) {
    return std::ranges::any_of(this->engines, [&id](const auto& engine) {
      return engine->arrived.contains(id);
    });
  };
  load.keeps_connections = this->options.largest_body > 0;
  load.largest_body = this->options.largest_body;
  for (const auto& engine : this->engines) {
    engine->on_body = [this](const std::string& id, const std::string& body) {
      CheckPromptBody(this->ledger, id, body, this->options.largest_body);
    };
  }
  load.broke_off = [this](const std::string& id) {
    return std::ranges::any_of(this->engines, [&id](const auto& engine) {
      return engine->broken_off.contains(id);
    });
  };
  this->load = std::make_unique<PromptLoad>(this->loop, this->ledger,
                                            this->hosts, std::move(load));
  this->deadly_timer = std::make_unique<Timer>(
      this->loop,
      kFirstFault + Milliseconds(this->random() % kDeadlyFromSpreadMs),
      Duration(0), [this] {
        for (const auto& engine : this->engines) {
          engine->deadly_part = kDeadlyPart;
          engine->crash_delay = this->options.late_crashes
                                    ? DrawCrashDelay(this->options.seed)
                                    : std::nullopt;
        }
      });
  this->fault_timer = std::make_unique<Timer>(
      this->loop, kFirstFault, Duration(0), [this] { this->DrawFault(); });
}

void PromptSite::Crash(CrashingEngineStandIn& engine) {
  this->log.Note({{"fault", "crash engine"}, {"engine", engine.address().ip}});
  engine.Crash();
}

void PromptSite::DrawFault() {
  if (EventLoop::Now() >= this->faults_until) {
    return;
  }
  const unsigned int which = this->random() % this->engines.size();
  CrashingEngineStandIn& engine = *this->engines[which];
  switch (this->random() % 3) {
    case 0:
      this->agents[which]->Kill(Duration(0));
      break;
    case 1:
      this->Crash(engine);
      break;
    default:
      this->log.Note(
          {{"fault", "engine leaves"}, {"engine", engine.address().ip}});
      engine.Drain();
      this->leavings.push_back(
          std::make_unique<Timer>(this->loop, kLeavesAfter, Duration(0),
                                  [this, &engine] { this->Crash(engine); }));
      break;
  }
  this->fault_timer = std::make_unique<Timer>(
      this->loop, Milliseconds(kShortestGapMs + this->random() % kGapSpreadMs),
      Duration(0), [this] { this->DrawFault(); });
}

void PromptSite::Check() {
  std::vector<TimePoint> crashes;
  for (const auto& engine : this->engines) {
    crashes.insert(crashes.end(), engine->deadly_crashes.begin(),
                   engine->deadly_crashes.end());
  }
  std::ranges::sort(crashes);
  if (crashes.size() < kKnownCrashes) {
    return;
  }
  const TimePoint bound_from = crashes[kKnownCrashes - 1] + kStableTime;
  std::size_t late = 0;
  for (const auto& engine : this->engines) {
    for (const auto& arrival : engine->deadly_arrivals) {
      const HostView& host = this->load->HostOf(arrival.request);
      const bool undisturbed = host.disturbed_at() + kStableTime < arrival.at;
      late += arrival.at > bound_from && undisturbed ? 1 : 0;
    }
  }
  if (late > kMaxLateArrivals) {
    NoteBroken(
        this->ledger,
        std::to_string(late) + " requests with a part that had crashed " +
            std::to_string(kKnownCrashes) + " servers reached servers later; " +
            std::to_string(crashes.size()) + " crashed in all");
  }
}

}  // namespace toucanhollow
