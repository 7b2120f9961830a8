#include "map_task/group_map_task.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "json_log/json_log.h"
#include "map_task/choose_probe.h"

namespace toucanhollow {
namespace {

// How often the task checks for due work.
constexpr Duration kTickPeriod = Milliseconds(20);
// How often each host requests the report of one rank.
constexpr Duration kProbePeriod = Milliseconds(100);
// How often ranks without a known group are asked: the coordinator asks all of
// them, every other host at most kMaxDiscoveryCalls of a service.
constexpr Duration kDiscoveryPeriod = Milliseconds(250);
constexpr std::size_t kMaxDiscoveryCalls = 6;

}  // namespace

GroupMapTask::GroupMapTask(EventLoop& loop,
                           HttpClient& client,
                           const EngineMapCodec& codec,
                           const CoordinatorElectionSettings& election,
                           GroupMapCallbacks callbacks)
    : loop(loop),
      callbacks(std::move(callbacks)),
      versions_in_term(election.versions_in_term),
      coordinator(loop, codec, election, this->callbacks.on_joined),
      calls(loop, client, codec),
      // Hosts start with different ranks, so that no rank gets the probes of
      // all hosts at once.
      next_probe(HashText(election.member)),
      timer(std::make_unique<Timer>(loop, kTickPeriod, kTickPeriod, [this] {
        this->Tick();
      })) {}

Result<bool> GroupMapTask::Start(const Address& local) {
  return this->calls.Open(local);
}

bool GroupMapTask::IsCoordinator() const {
  const CoordinatorTerm& term = this->coordinator.term();
  return term.is_coordinator && HasFencingToken(term.generation) &&
         term.generation > this->versions.deposed_generation &&
         !this->IsTermUsedUp();
}

bool GroupMapTask::IsTermUsedUp() const {
  const CoordinatorTerm& term = this->coordinator.term();
  return term.is_coordinator && term.generation == this->versions.generation &&
         this->versions.used_count >= this->versions_in_term;
}

void GroupMapTask::Leave() {
  this->coordinator.Leave();
}

void GroupMapTask::RefreshServices() {
  this->services = this->callbacks.list_services();
  std::set<std::string> listed;
  for (const ExpertParallelService& service : this->services) {
    for (const RankAddress& rank : service.ranks) {
      listed.insert(rank.server);
    }
  }
  const GroupRegistry before = this->registry;
  RemoveUnlistedServers(this->registry, listed);
  std::erase_if(this->rejected_reports, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  if (this->registry.rank_by_server != before.rank_by_server) {
    this->NotifyGroupsChanged();
  }
}

void GroupMapTask::UpdateTerm() {
  const CoordinatorTerm& term = this->coordinator.term();
  this->versions.is_coordinator = this->IsCoordinator();
  if (term.generation != this->versions.generation) {
    // An unfinished round continues: members have joined or left, and if
    // another host was the coordinator meanwhile, the reports show it.
    this->versions.generation = term.generation;
    this->versions.used_count = 0;
    if (term.is_coordinator && !HasFencingToken(term.generation)) {
      LogJsonNow("coordinator_generation_out_of_range",
                 {{"era", term.generation.era.value},
                  {"generation", term.generation.number}});
    }
  }
  if (this->IsTermUsedUp()) {
    this->coordinator.EndTerm();
  }
}

void GroupMapTask::Tick() {
  const TimePoint now = EventLoop::Now();
  this->UpdateTerm();
  const bool probe_due =
      !this->probe_pending && now - this->probed_at >= kProbePeriod;
  if (this->versions.is_coordinator || probe_due) {
    this->RefreshServices();
  }
  if (probe_due) {
    this->Probe(now);
  }
  if (!this->discovery_pending &&
      now - this->discovered_at >= kDiscoveryPeriod) {
    this->Discover(now);
  }
  if (!this->versions.is_coordinator) {
    for (const auto& [key, group] : this->group_coordinators) {
      group->Stop();
    }
  } else {
    this->AssignRanks();
    for (const auto& [key, group] : this->group_coordinators) {
      group->Tick(now);
    }
  }
  this->NotifySlowRanks();
}

void GroupMapTask::AskReport(
    const RankAddress& rank,
    bool fall_back_to_engine,
    std::function<void(const RankAnswer& answer)> done) {
  this->calls.Start(
      {{rank, {.kind = RankRequestKind::kReport}}}, fall_back_to_engine,
      [done = std::move(done)](const std::vector<RankAnswer>& answers) {
        done(answers.front());
      });
}

void GroupMapTask::Probe(TimePoint now) {
  std::vector<std::string> servers;
  for (const ExpertParallelService& service : this->services) {
    for (const RankAddress& rank : service.ranks) {
      servers.push_back(rank.server);
    }
  }
  const auto chosen = ChooseProbe(this->registry, servers, this->next_probe++);
  this->probed_at = now;
  if (!chosen) {
    return;
  }
  for (const ExpertParallelService& service : this->services) {
    const auto rank =
        std::ranges::find(service.ranks, *chosen, &RankAddress::server);
    if (rank == service.ranks.end()) {
      continue;
    }
    this->probe_pending = true;
    this->calls.Start(
        {{*rank, {.kind = RankRequestKind::kReport}}}, false,
        [this, name = service.service](const std::vector<RankAnswer>& answers) {
          this->probe_pending = false;
          const RankReply& reply = answers.front().reply;
          // If no report arrived, the next probe asks another rank.
          if (reply.report) {
            this->HandleReport(name, *reply.report);
          }
        });
    return;
  }
}

void GroupMapTask::Discover(TimePoint now) {
  for (std::size_t i = 0; i < this->services.size(); ++i) {
    // Services take turns, because a server may never give a report.
    const ExpertParallelService& service =
        this->services[this->next_discovery++ % this->services.size()];
    std::vector<RankCall> unknown;
    for (const RankAddress& rank : service.ranks) {
      if (!this->registry.rank_by_server.contains(rank.server) ||
          this->IsLeftBehind(rank.server)) {
        unknown.push_back({rank, {.kind = RankRequestKind::kReport}});
      }
    }
    if (unknown.empty()) {
      continue;
    }
    if (!this->versions.is_coordinator && unknown.size() > kMaxDiscoveryCalls) {
      const auto first =
          static_cast<std::ptrdiff_t>(this->next_probe % unknown.size());
      std::rotate(unknown.begin(), unknown.begin() + first, unknown.end());
      unknown.resize(kMaxDiscoveryCalls);
    }
    this->discovered_at = now;
    this->discovery_pending = true;
    // Direct calls to engines are charged; only the coordinator makes them.
    this->calls.Start(
        unknown, this->versions.is_coordinator,
        [this, name = service.service](const std::vector<RankAnswer>& answers) {
          this->discovery_pending = false;
          for (const RankAnswer& answer : answers) {
            if (answer.reply.report) {
              this->HandleReport(name, *answer.reply.report);
            }
          }
        });
    return;
  }
}

void GroupMapTask::HandleReport(const ServiceName& service,
                                const RankReport& report) {
  const GroupRank* group_rank = nullptr;
  const GroupState* state = FindGroup(this->registry, report.server);
  if (state != nullptr) {
    group_rank = &this->registry.rank_by_server.at(report.server);
  }
  const bool is_unchanged =
      state != nullptr && group_rank->group.name == report.group &&
      group_rank->rank == report.rank && state->epoch == report.epoch &&
      state->open == report.open;
  const RankReportStatus status =
      ApplyRankReport(this->registry, service, report, EventLoop::Now());
  if (status != RankReportStatus::kAccepted) {
    const auto [logged, is_new] =
        this->rejected_reports.try_emplace(report.server, status);
    if (is_new || logged->second != status) {
      logged->second = status;
      LogJsonNow("rank_report_unused",
                 {{"server", std::string_view(report.server)},
                  {"why", DescribeRankReportStatus(status)},
                  {"group", std::string_view(report.group)},
                  {"epoch", report.epoch}});
    }
    return;
  }
  this->rejected_reports.erase(report.server);
  if (!is_unchanged) {
    this->NotifyGroupsChanged();
  }
}

void GroupMapTask::NotifyGroupsChanged() {
  this->callbacks.on_groups(this->registry);
}

bool GroupMapTask::IsLeftBehind(const std::string& server) const {
  const auto rejected = this->rejected_reports.find(server);
  return rejected != this->rejected_reports.end() &&
         rejected->second == RankReportStatus::kStaleEpoch;
}

void GroupMapTask::AssignRanks() {
  std::map<GroupKey, std::vector<RankAddress>> by_group;
  std::map<GroupKey, std::vector<RankAddress>> left_behind;
  std::map<GroupKey, ExpertParameters> parameters;
  for (const ExpertParallelService& service : this->services) {
    for (const RankAddress& rank : service.ranks) {
      const auto group_rank = this->registry.rank_by_server.find(rank.server);
      if (group_rank != this->registry.rank_by_server.end()) {
        auto& ranks = this->IsLeftBehind(rank.server) ? left_behind : by_group;
        ranks[group_rank->second.group].push_back(rank);
        parameters[group_rank->second.group] = service.parameters;
      }
    }
  }
  // A server that was not taken into the re-formed group would keep each
  // reading of the group incomplete. If no rank is in the current epoch, epochs
  // may count from a low number again.
  by_group.merge(left_behind);
  std::erase_if(this->group_coordinators, [&by_group](const auto& entry) {
    return !by_group.contains(entry.first);
  });
  for (auto& [key, ranks] : by_group) {
    auto& group = this->group_coordinators[key];
    if (group == nullptr) {
      group = std::make_unique<GroupCoordinator>(
          key, this->calls, this->versions,
          [this, service = key.service](const RankReport& report) {
            this->HandleReport(service, report);
          });
    }
    group->SetRanks(std::move(ranks), parameters[key]);
  }
}

void GroupMapTask::NotifySlowRanks() {
  std::set<std::string> slow;
  for (const auto& [key, group] : this->group_coordinators) {
    slow.insert(group->slow_ranks().begin(), group->slow_ranks().end());
  }
  if (slow == this->slow_ranks) {
    return;
  }
  this->slow_ranks = std::move(slow);
  std::string servers;
  for (const std::string& server : this->slow_ranks) {
    servers += (servers.empty() ? "" : ",") + server;
  }
  LogJsonNow("slow_ranks", {{"servers", std::string_view(servers)}});
  this->callbacks.on_slow_ranks(this->slow_ranks);
}

}  // namespace toucanhollow
