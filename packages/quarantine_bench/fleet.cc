#include "quarantine_bench/fleet.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "quarantine/attempt_table.h"
#include "quarantine/begun_answers.h"
#include "quarantine/choose_canary.h"
#include "quarantine/isolation_ledger.h"
#include "quarantine/judge_request.h"
#include "quarantine/quarantine_state.h"
#include "quarantine/recent_prompts.h"
#include "quarantine/sound_parts.h"

namespace toucanhollow {
namespace {

constexpr Duration kServerLatency = Milliseconds(2);
constexpr Duration kPeerLatency = Milliseconds(2);
constexpr Duration kAgentRoundTrip = Milliseconds(4);
// From the crash until a host knows that the server refuses connections.
constexpr Duration kConfirmTime = Milliseconds(6);
constexpr Duration kShortestPrefill = Milliseconds(40);
constexpr int kPrefillSpreadMs = 120;
constexpr Duration kStreamTime = Milliseconds(1500);
constexpr Duration kStallTime = Milliseconds(1500);
// From a crash until the group executes passes again.
constexpr Duration kCrashTime = Milliseconds(3400);
constexpr Duration kTick = Milliseconds(10);
// Callers that were refused before wait longer.
constexpr Duration kMaxWait = Milliseconds(400);
constexpr Duration kMaxRetryWait = Milliseconds(1600);
constexpr double kRetryShare = 0.5;
constexpr Duration kNotedDelay = Milliseconds(20);
constexpr Duration kJointWait = Seconds(1);
// Of the time that a request waits.
constexpr double kJointWaitFraction = 0.5;
constexpr std::size_t kProofSpreadMs = 200;
constexpr Duration kRepairPeriod = Milliseconds(500);
constexpr Duration kSweepPeriod = Milliseconds(100);
constexpr Duration kHostRestartPeriod = Milliseconds(900);
constexpr Duration kSplitFrom = Seconds(6);
constexpr Duration kSplitTime = Seconds(8);
constexpr double kLoss = 0.1;
constexpr int kFirstParts = 180;
constexpr int kPairs = 10;
constexpr int kAccounts = 10;
constexpr int kBoundOnCrashes = 5;
constexpr Duration kLateTime = Seconds(4);

TimePoint At(Duration time) {
  return TimePoint() + time;
}

struct Request {
  ServiceName service;
  std::vector<PartId> parts;
  AccountHash account = kSeveralAccounts;
  std::optional<PartId> deadly;
  TimePoint arrived_at;
  Duration max_wait{0};
  bool owed = false;  // arrived while a group was open
  bool is_paired = false;
};

struct Waiting {
  Request request;
  bool asking = false;  // the agent
  TimePoint ask_from = {};
  bool isolated = false;
  // Since when a group of the service is open.
  std::optional<TimePoint> open_since = {};
};

struct Host {
  QuarantineState quarantine;
  AttemptTable attempts;
  SoundParts sound;
  BegunAnswers begun;
  RecentPrompts recent;
  std::vector<std::shared_ptr<Waiting>> waiting;
  std::set<PartId> testing;
  std::uint64_t life = 0;  // counts restarts
};

struct Running {
  AttemptNumber number = 0;
  int host = 0;
  std::uint64_t host_life = 0;
  Request request;
  std::vector<PartId> tested;
  TimePoint sent_at;
};

struct Server {
  std::string id;
  ServerIncarnation incarnation;
  int group = 0;
  std::map<AttemptNumber, Running> running;
  IsolationLedger ledger;
};

struct Group {
  ServiceName service;
  std::vector<int> servers;
  TimePoint halted_until;
  std::uint64_t epoch = 0;
};

class Fleet {
 public:
  explicit Fleet(const PromptFleetOptions& options)
      : options(options),
        random(options.seed),
        hosts(static_cast<std::size_t>(options.hosts)) {
    for (int service = 0; service < options.services; ++service) {
      for (int group = 0; group < options.groups; ++group) {
        this->AddGroup({"service-" + std::to_string(service)});
      }
    }
  }

  PromptFleetResult Run() {
    for (int service = 0; service < this->options.services; ++service) {
      this->ScheduleArrival({"service-" + std::to_string(service)});
    }
    this->Every(kTick, [this] { this->Tick(); });
    this->Every(kRepairPeriod, [this] { this->Repair(); });
    this->Every(kSweepPeriod, [this] {
      for (int number = 0; number < this->options.hosts; ++number) {
        this->RecordProofs(number);
      }
    });
    if (this->options.other_crashes_per_s > 0) {
      this->ScheduleOtherCrash();
    }
    if (this->options.trouble == FleetTrouble::kHostRestarts) {
      this->Every(kHostRestartPeriod, [this] { this->RestartHost(); });
    }
    while (!this->events.empty() &&
           this->events.top().time <= At(this->options.length)) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      event.action();
    }
    return this->Summarize();
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::pair(this->time, this->order) >
             std::pair(other.time, other.order);
    }
  };

  void After(Duration delay, std::function<void()> action) {
    this->events.push(
        {this->now + delay, this->next_order++, std::move(action)});
  }

  void Every(Duration period, const std::function<void()>& action) {
    this->After(period, [this, period, action] {
      action();
      this->Every(period, action);
    });
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  int Draw(std::size_t count) {
    return static_cast<int>(this->random() % count);
  }

  void AddGroup(const ServiceName& service) {
    const int number = static_cast<int>(this->groups.size());
    Group group;
    group.service = service;
    for (int i = 0; i < this->options.servers_per_group; ++i) {
      const int server = static_cast<int>(this->servers.size());
      group.servers.push_back(server);
      Server added;
      added.group = number;
      added.incarnation.address = static_cast<std::uint32_t>(server + 1);
      added.id = "i-" + std::to_string(server) + "-0";
      this->servers.push_back(std::move(added));
    }
    this->groups.push_back(std::move(group));
  }

  bool IsOpen(const Group& group) const {
    return this->now >= group.halted_until;
  }

  bool IsAnyOpen(const ServiceName& service) const {
    return std::ranges::any_of(this->groups, [&](const Group& group) {
      return group.service == service && this->IsOpen(group);
    });
  }

  // Arrivals.

  void ScheduleArrival(const ServiceName& service) {
    std::exponential_distribution<double> gap(this->options.requests_per_s);
    this->After(Duration(static_cast<Duration::rep>(gap(this->random) * 1e6)),
                [this, service] {
                  this->Arrive(this->MakeRequest(service));
                  this->ScheduleArrival(service);
                });
  }

  PartId FirstPart(const ServiceName& service) {
    if (this->Uniform() < this->options.hot_share) {
      return IdentifyPart(service, "hot");
    }
    // Popular parts are asked for more often.
    const double skewed = this->Uniform() * this->Uniform();
    return IdentifyPart(
        service,
        "first-" + std::to_string(static_cast<int>(skewed * kFirstParts)));
  }

  Request MakeRequest(const ServiceName& service) {
    Request request;
    request.service = service;
    request.arrived_at = this->now;
    request.max_wait = this->Uniform() < kRetryShare ? kMaxRetryWait : kMaxWait;
    int account = this->Draw(kAccounts);
    std::vector<PartId> parts = {this->FirstPart(service)};
    const bool deadly = this->now >= At(this->options.deadly_from) &&
                        this->Uniform() < this->options.deadly_share;
    const bool victim = this->Uniform() * this->options.requests_per_s <
                        this->options.victim_per_s;
    if (this->Uniform() < this->options.session_share) {
      const int session = this->Draw(this->options.sessions);
      parts.push_back(
          IdentifyPart(service, "session-" + std::to_string(session)));
    }
    if (deadly) {
      account = this->Draw(this->options.deadly_accounts);
      const int number = this->options.hostile
                             ? this->next_hostile++
                             : this->Draw(this->options.deadly_parts);
      request.deadly =
          IdentifyPart(service, "deadly-" + std::to_string(number));
      parts.push_back(*request.deadly);
      if (this->options.hostile) {
        parts = {*request.deadly, IdentifyPart(service, "victim")};
      }
    } else if (victim) {
      account = kAccounts;
      parts = {IdentifyPart(service, "victim")};
    }
    if (this->Uniform() < this->options.paired_share) {
      this->AddPair(request, parts);
    }
    request.account = HashAccount("account-" + std::to_string(account));
    std::ranges::sort(parts);
    request.parts = std::move(parts);
    return request;
  }

  void AddPair(Request& request, std::vector<PartId>& parts) {
    const int pair = this->Draw(kPairs);
    parts.front() =
        IdentifyPart(request.service, "one-" + std::to_string(pair));
    parts.push_back(
        IdentifyPart(request.service, "other-" + std::to_string(pair)));
    request.max_wait = kMaxWait;
    request.is_paired = true;
  }

  PromptJudgement Judge(Host& host, const Request& request) {
    if (this->options.policy == QuarantinePolicy::kNone) {
      return {};
    }
    UpdateVerdicts(host.quarantine, this->now);
    PromptJudgement judgement = JudgeRequest(host.quarantine, request.parts,
                                             request.account, this->now);
    if (this->options.policy == QuarantinePolicy::kFirstCrash) {
      if (judgement.verdict == PromptVerdict::kIsolate) {
        judgement.verdict = PromptVerdict::kRefuse;
      }
    } else if (this->options.policy == QuarantinePolicy::kCommonPart) {
      judgement = {};
      for (const PartId part : request.parts) {
        if (this->CountCrashes(host.quarantine, part) > 1) {
          judgement.verdict = PromptVerdict::kRefuse;
        }
      }
    }
    return judgement;
  }

  // Crashes at different times at which the part was there, with no answer
  // since.
  int CountCrashes(const QuarantineState& state, PartId part) const {
    int crashes = 0;
    TimePoint last = TimePoint::min();
    std::vector<const KnownCrash*> ordered;
    for (const auto& [server, crash] : state.crashes) {
      ordered.push_back(&crash);
    }
    std::ranges::sort(ordered, {}, &KnownCrash::learned_at);
    for (const KnownCrash* crash : ordered) {
      for (const CrashCandidate& candidate : crash->record.candidates) {
        if (candidate.part == part && !candidate.cleared &&
            (crashes == 0 || crash->learned_at - last > Seconds(1))) {
          ++crashes;
          last = crash->learned_at;
        }
      }
    }
    return crashes;
  }

  void Arrive(Request request) {
    const int number = this->Draw(this->hosts.size());
    Host& host = this->hosts[number];
    request.owed = !request.deadly && this->IsAnyOpen(request.service);
    this->owed += request.owed ? 1 : 0;
    this->owed_pairs += request.owed && request.is_paired ? 1 : 0;
    RecordPrompt(host.recent, request.parts, this->now);
    const PromptJudgement judgement = this->Judge(host, request);
    switch (judgement.verdict) {
      case PromptVerdict::kRefuse:
        this->CountRefusal(request, judgement);
        return;
      case PromptVerdict::kIsolate:
        host.waiting.push_back(std::make_shared<Waiting>(Waiting{request}));
        return;
      case PromptVerdict::kPass:
        if (!this->Send(number, request, {}, std::nullopt) &&
            request.max_wait == kMaxRetryWait) {
          host.waiting.push_back(std::make_shared<Waiting>(Waiting{request}));
        }
        return;
    }
  }

  void CountRefusal(const Request& request, const PromptJudgement&) {
    if (request.deadly) {
      return;
    }
    ++this->refused_by_quarantine;
  }

  // Sending.

  std::optional<int> ChooseServer(const ServiceName& service) {
    std::vector<int> free;
    for (const Group& group : this->groups) {
      if (group.service != service || !this->IsOpen(group)) {
        continue;
      }
      for (const int server : group.servers) {
        if (this->IsFree(server)) {
          free.push_back(server);
        }
      }
    }
    if (free.empty()) {
      return std::nullopt;
    }
    return free[this->Draw(free.size())];
  }

  bool IsFree(int server) const {
    return static_cast<int>(this->servers[server].running.size()) <
           this->options.slots;
  }

  // Returns false if no server takes the request.
  bool Send(int host_number,
            const Request& request,
            const std::vector<PartId>& suspects,
            std::optional<int> canary) {
    const std::optional<int> chosen =
        canary ? canary : this->ChooseServer(request.service);
    if (!chosen) {
      return false;
    }
    Host& host = this->hosts[host_number];
    Server& server = this->servers[*chosen];
    PromptAttempt attempt;
    attempt.parts = request.parts;
    attempt.account = request.account;
    attempt.isolated = suspects;
    attempt.last_crash_number = host.quarantine.last_number;
    Running running;
    running.number = this->next_attempt++;
    running.host = host_number;
    running.host_life = host.life;
    running.request = request;
    running.tested = suspects;
    running.sent_at = this->now;
    AddAttempt(host.attempts, server.incarnation, running.number,
               std::move(attempt));
    if (request.deadly) {
      this->NoteDeadlySent(*request.deadly);
    }
    const Duration prefill =
        kShortestPrefill + Milliseconds(this->Draw(kPrefillSpreadMs));
    const AttemptNumber number = running.number;
    server.running.emplace(number, std::move(running));
    const ServerIncarnation incarnation = server.incarnation;
    this->After(kServerLatency + prefill,
                [this, server = *chosen, incarnation, number] {
                  this->Begin(server, incarnation, number);
                });
    return true;
  }

  void NoteDeadlySent(PartId part) {
    const auto fifth = this->fifth_crash.find(part);
    if (fifth != this->fifth_crash.end() &&
        this->now - fifth->second > kLateTime) {
      ++this->deadly_sent_late;
    }
  }

  Running* FindRunning(int server,
                       const ServerIncarnation& incarnation,
                       AttemptNumber number) {
    Server& at = this->servers[server];
    const auto found = at.running.find(number);
    return at.incarnation != incarnation || found == at.running.end()
               ? nullptr
               : &found->second;
  }

  void Begin(int server,
             const ServerIncarnation& incarnation,
             AttemptNumber number) {
    Running* running = this->FindRunning(server, incarnation, number);
    if (running == nullptr ||
        !this->IsOpen(this->groups[this->servers[server].group])) {
      return;  // ended by the crash, or the group stalls
    }
    if (running->request.deadly) {
      const PartId deadly = *running->request.deadly;
      if (this->options.crash_delay == Duration(0)) {
        this->CrashByPart(server, deadly);
        return;
      }
      this->After(this->options.crash_delay,
                  [this, server, incarnation, deadly] {
                    if (this->servers[server].incarnation == incarnation) {
                      this->CrashByPart(server, deadly);
                    }
                  });
    }
    this->served += running->request.owed ? 1 : 0;
    this->After(kServerLatency, [this, server, incarnation, number] {
      this->OnBegun(server, incarnation, number);
    });
    this->After(kStreamTime, [this, server, incarnation, number] {
      this->End(server, incarnation, number, AttemptResult::kSettled);
    });
  }

  void CrashByPart(int server, PartId part) {
    ++this->deadly_crashes;
    if (++this->crashes_by_part[part] == kBoundOnCrashes) {
      this->fifth_crash[part] = this->now;
    }
    this->Crash(server);
  }

  Host* FindHost(const Running& running) {
    Host& host = this->hosts[running.host];
    return host.life == running.host_life ? &host : nullptr;
  }

  void OnBegun(int server,
               const ServerIncarnation& incarnation,
               AttemptNumber number) {
    Running* running = this->FindRunning(server, incarnation, number);
    Host* host = running == nullptr ? nullptr : this->FindHost(*running);
    if (host == nullptr) {
      return;
    }
    const std::uint64_t last_crash_number =
        host->attempts.servers.at(incarnation).at(number).last_crash_number;
    MarkBegun(host->attempts, incarnation, number, this->now);
    AddAnswer(
        host->begun, number,
        {incarnation, running->request.parts, last_crash_number, this->now});
    this->EndTest(*running, server);
    for (const ServerIncarnation& changed : MarkAnswered(
             host->quarantine, running->request.parts, last_crash_number)) {
      this->Gossip(running->host, changed);
    }
  }

  void RecordProofs(int number) {
    Host& host = this->hosts[number];
    RecordSurvivedAnswers(host.begun, host.sound, host.quarantine, this->now);
    for (const ServerIncarnation& changed :
         ClearSurvivedParts(host.begun, host.quarantine, this->now)) {
      this->Gossip(number, changed);
    }
    ForgetEndedAttempts(host.attempts, this->now);
  }

  void EndTest(Running& running, int server) {
    Host* host = this->FindHost(running);
    for (const PartId part : running.tested) {
      if (host != nullptr) {
        host->testing.erase(part);
      }
    }
    if (!running.tested.empty()) {
      EndIsolation(this->servers[server].ledger, {{}, running.number});
      // The ledger's serial is that of the attempt.
      running.tested.clear();
    }
  }

  void End(int server,
           const ServerIncarnation& incarnation,
           AttemptNumber number,
           AttemptResult result) {
    Running* running = this->FindRunning(server, incarnation, number);
    if (running == nullptr) {
      return;
    }
    if (Host* host = this->FindHost(*running)) {
      EndAttempt(host->attempts, incarnation, number, result, this->now);
    }
    this->EndTest(*running, server);
    this->servers[server].running.erase(number);
  }

  // Crashes.

  void ScheduleOtherCrash() {
    std::exponential_distribution<double> gap(
        this->options.other_crashes_per_s);
    this->After(Duration(static_cast<Duration::rep>(gap(this->random) * 1e6)),
                [this] {
                  this->CrashSome();
                  this->ScheduleOtherCrash();
                });
  }

  void CrashSome() {
    const Group& group = this->groups[this->Draw(this->groups.size())];
    if (!this->IsOpen(group)) {
      return;
    }
    std::vector<int> chosen = group.servers;
    std::ranges::shuffle(chosen, this->random);
    chosen.resize(
        std::min<std::size_t>(chosen.size(), this->options.other_crash_width));
    for (const int server : chosen) {
      this->Crash(server);
    }
  }

  void Crash(int number) {
    Server& server = this->servers[number];
    Group& group = this->groups[server.group];
    this->halted +=
        std::max(Duration(0), this->now + kCrashTime -
                                  std::max(this->now, group.halted_until));
    group.halted_until = std::max(group.halted_until, this->now + kCrashTime);
    const ServerIncarnation ended = server.incarnation;
    for (auto& [attempt, running] : server.running) {
      if (Host* host = this->FindHost(running)) {
        EndAttempt(host->attempts, ended, attempt, AttemptResult::kLost,
                   this->now);
        RemoveAnswer(host->begun, attempt);
        for (const PartId part : running.tested) {
          host->testing.erase(part);
        }
      }
    }
    // A request that breaks off or finds no connection has a host ask.
    for (int host = 0; host < this->options.hosts; ++host) {
      this->After(kConfirmTime,
                  [this, host, ended, life = this->hosts[host].life] {
                    this->OnCrashConfirmed(host, life, ended);
                  });
    }
    server.running.clear();
    ++server.incarnation.start_time_ms;
    server.id = "i-" + std::to_string(number) + "-" +
                std::to_string(server.incarnation.start_time_ms);
    this->StallOthers(group, number);
  }

  // The requests of the group's other servers end after the stall. None of
  // these servers crashed.
  void StallOthers(const Group& group, int crashed) {
    for (const int other : group.servers) {
      if (other == crashed) {
        continue;
      }
      Server& server = this->servers[other];
      for (const auto& [attempt, running] : server.running) {
        this->After(kStallTime, [this, other, number = attempt,
                                 incarnation = server.incarnation] {
          this->End(other, incarnation, number, AttemptResult::kSettled);
        });
      }
    }
  }

  void OnCrashConfirmed(int number,
                        std::uint64_t life,
                        const ServerIncarnation& ended) {
    Host& host = this->hosts[number];
    if (host.life != life) {
      return;
    }
    const int server = static_cast<int>(ended.address) - 1;
    const int group = this->servers[server].group;
    const auto service =
        static_cast<std::uint32_t>(HashText(this->groups[group].service.value));
    CrashReport report;
    report.record = FindCandidates(host.attempts, ended, service, this->now);
    if (report.record.candidates.empty()) {
      return;
    }
    if (MergeReport(host.quarantine, report, this->now)) {
      MarkProvenParts(host.quarantine, ended, host.sound);
      this->Gossip(number, ended);
    }
  }

  // What hosts tell each other.

  bool Hears(int from, int to) {
    if (this->options.trouble == FleetTrouble::kLossy &&
        this->Uniform() < kLoss) {
      return false;
    }
    const Duration time = this->now - TimePoint();
    const bool split = this->options.trouble == FleetTrouble::kSplit &&
                       time >= kSplitFrom && time < kSplitFrom + kSplitTime;
    const int half = this->options.hosts / 2;
    return !split || (from < half) == (to < half);
  }

  void Tell(int from, int to, const ServerIncarnation& crash) {
    Host& host = this->hosts[from];
    const auto known = host.quarantine.crashes.find(crash);
    if (known == host.quarantine.crashes.end() || !this->Hears(from, to)) {
      return;
    }
    this->After(kPeerLatency,
                [this, to, report = MakeReport(known->second, this->now)] {
                  this->OnReport(to, report);
                });
  }

  void OnReport(int number, const CrashReport& report) {
    Host& host = this->hosts[number];
    const ServerIncarnation& crash = report.record.server;
    const bool is_new = !host.quarantine.crashes.contains(crash);
    MergeReport(host.quarantine, report, this->now);
    if (is_new) {
      // Most hosts find that another one has told the same meanwhile.
      this->After(
          Milliseconds(this->Draw(kProofSpreadMs)), [this, number, crash] {
            Host& telling = this->hosts[number];
            if (MarkProvenParts(telling.quarantine, crash, telling.sound)) {
              this->Gossip(number, crash);
            }
          });
    }
  }

  void Gossip(int from, const ServerIncarnation& crash) {
    for (int to = 0; to < this->options.hosts; ++to) {
      if (to != from) {
        this->Tell(from, to, crash);
      }
    }
  }

  // A host that sees another digest in a load report sends what it knows.
  void Repair() {
    std::vector<std::uint32_t> digests;
    for (Host& host : this->hosts) {
      UpdateVerdicts(host.quarantine, this->now);
      digests.push_back(DigestOf(host.quarantine));
    }
    for (int from = 0; from < this->options.hosts; ++from) {
      for (int to = 0; to < this->options.hosts; ++to) {
        if (digests[from] != digests[to]) {
          for (const auto& [crash, known] :
               this->hosts[from].quarantine.crashes) {
            this->Tell(from, to, crash);
          }
        }
      }
    }
  }

  void RestartHost() {
    const int number = this->next_restart++ % this->options.hosts;
    Host& host = this->hosts[number];
    const std::uint64_t life = host.life + 1;
    host = Host();
    host.life = life;
    const int other =
        (number + 1 + this->Draw(this->hosts.size() - 1)) % this->options.hosts;
    for (const auto& [crash, known] : this->hosts[other].quarantine.crashes) {
      this->Tell(other, number, crash);
    }
  }

  // Isolation.

  void Tick() {
    for (int number = 0; number < this->options.hosts; ++number) {
      Host& host = this->hosts[number];
      std::vector<std::shared_ptr<Waiting>> waiting;
      waiting.swap(host.waiting);
      for (const auto& entry : waiting) {
        if (this->StaysWaiting(number, entry)) {
          host.waiting.push_back(entry);
        }
      }
    }
  }

  bool StaysWaiting(int number, const std::shared_ptr<Waiting>& entry) {
    Host& host = this->hosts[number];
    const Request& request = entry->request;
    if (entry->asking) {
      return true;
    }
    const PromptJudgement judgement = this->Judge(host, request);
    if (judgement.verdict == PromptVerdict::kRefuse) {
      this->CountRefusal(request, judgement);
      return false;
    }
    const Duration waited = this->now - request.arrived_at;
    if (judgement.verdict == PromptVerdict::kPass) {
      const bool sent = this->Send(number, request, {}, std::nullopt);
      this->delayed +=
          sent && request.owed && entry->isolated && waited > kNotedDelay ? 1
                                                                          : 0;
      return !sent && waited < request.max_wait;
    }
    entry->isolated = true;
    const bool open = this->IsAnyOpen(request.service);
    if (waited > request.max_wait) {
      this->refused_waiting += request.owed ? 1 : 0;
      this->refused_pairs += request.owed && request.is_paired ? 1 : 0;
      return false;
    }
    if (!open) {
      entry->open_since.reset();
      return true;
    }
    if (!entry->open_since) {
      entry->open_since = this->now;
    }
    const bool joint = judgement.suspects.size() > 1;
    const bool waits_for_others =
        joint && ((this->now - *entry->open_since < kJointWait &&
                   waited < request.max_wait * kJointWaitFraction) ||
                  AreTestedApart(host.recent, host.quarantine,
                                 judgement.suspects, this->now));
    if (waits_for_others || this->now < entry->ask_from ||
        std::ranges::any_of(judgement.suspects, [&host](PartId part) {
          return host.testing.contains(part);
        })) {
      return true;
    }
    this->AskForIsolation(number, entry, judgement.suspects);
    return true;
  }

  std::optional<int> FindCanary(Host& host,
                                const Request& request,
                                PartId part) {
    std::vector<CanaryCandidate> candidates;
    std::vector<int> numbers;
    for (std::size_t i = 0; i < this->groups.size(); ++i) {
      const Group& group = this->groups[i];
      if (group.service != request.service || !this->IsOpen(group)) {
        continue;
      }
      for (const int number : group.servers) {
        const Server& server = this->servers[number];
        candidates.push_back({server.id, std::to_string(i),
                              server.incarnation.address,
                              this->IsFree(number)});
        numbers.push_back(number);
      }
    }
    const auto chosen = ChooseCanary(candidates, part, host.quarantine);
    return chosen ? std::optional(numbers[*chosen]) : std::nullopt;
  }

  void AskForIsolation(int number,
                       const std::shared_ptr<Waiting>& entry,
                       const std::vector<PartId>& suspects) {
    Host& host = this->hosts[number];
    const std::optional<int> canary =
        this->FindCanary(host, entry->request, suspects.front());
    if (!canary) {
      return;
    }
    const bool shared = this->options.policy == QuarantinePolicy::kIsolation;
    entry->asking = true;
    this->After(kAgentRoundTrip, [this, number, entry, suspects,
                                  canary = *canary, shared, life = host.life] {
      entry->asking = false;
      Host& asking = this->hosts[number];
      Server& server = this->servers[canary];
      const bool stands = !this->IsOpen(this->groups[server.group]);
      if (asking.life != life || stands ||
          this->Judge(asking, entry->request).verdict !=
              PromptVerdict::kIsolate ||
          (shared && !IsIsolationFree(server.ledger, 0, this->now))) {
        entry->ask_from = this->now + kIsolationWait;
        return;
      }
      if (shared) {
        BeginIsolation(server.ledger, 0, {{}, this->next_attempt}, this->now);
      }
      asking.testing.insert(suspects.begin(), suspects.end());
      std::erase(asking.waiting, entry);
      const Duration waited = this->now - entry->request.arrived_at;
      this->delayed += entry->request.owed && waited > kNotedDelay ? 1 : 0;
      this->Send(number, entry->request, suspects, canary);
    });
  }

  PromptFleetResult Summarize() const {
    PromptFleetResult result;
    result.deadly_crashes = this->deadly_crashes;
    for (const auto& [part, crashes] : this->crashes_by_part) {
      result.most_crashes_by_one_part =
          std::max(result.most_crashes_by_one_part, crashes);
    }
    result.deadly_sent_late = this->deadly_sent_late;
    result.sound_refused = static_cast<int>(this->refused_by_quarantine);
    const double owed = std::max(this->owed, 1);
    result.served = this->served / owed;
    result.refused_waiting = this->refused_waiting / owed;
    result.refused_pairs = this->refused_pairs / std::max(this->owed_pairs, 1);
    result.delayed = this->delayed / owed;
    result.halted = static_cast<double>(this->halted.count()) /
                    (static_cast<double>(this->options.length.count()) *
                     static_cast<double>(this->groups.size()));
    return result;
  }

  PromptFleetOptions options;
  std::mt19937_64 random;
  TimePoint now;
  std::uint64_t next_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Host> hosts;
  std::vector<Group> groups;
  std::vector<Server> servers;
  AttemptNumber next_attempt = 1;
  int next_restart = 0;
  int next_hostile = 0;

  int deadly_crashes = 0;
  std::map<PartId, int> crashes_by_part;
  std::map<PartId, TimePoint> fifth_crash;
  int deadly_sent_late = 0;
  int owed = 0;
  double served = 0;
  double refused_by_quarantine = 0;
  double refused_waiting = 0;
  double refused_pairs = 0;
  int owed_pairs = 0;
  double delayed = 0;
  Duration halted{0};
};

}  // namespace

std::string_view QuarantinePolicyName(QuarantinePolicy policy) {
  switch (policy) {
    case QuarantinePolicy::kNone:
      return "none (before)";
    case QuarantinePolicy::kFirstCrash:
      return "refuse after one crash";
    case QuarantinePolicy::kCommonPart:
      return "refuse after two crashes";
    case QuarantinePolicy::kOwnIsolation:
      return "isolation by each host";
    case QuarantinePolicy::kIsolation:
      return "isolation by agents (ours)";
  }
  return "";
}

std::string_view FleetTroubleName(FleetTrouble trouble) {
  switch (trouble) {
    case FleetTrouble::kNone:
      return "none";
    case FleetTrouble::kHostRestarts:
      return "hosts restart";
    case FleetTrouble::kSplit:
      return "hosts are split in halves";
    case FleetTrouble::kLossy:
      return "a tenth of the datagrams is lost";
  }
  return "";
}

PromptFleetResult SimulatePromptFleet(const PromptFleetOptions& options) {
  return Fleet(options).Run();
}

}  // namespace toucanhollow
