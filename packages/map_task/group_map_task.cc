#include "map_task/group_map_task.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "json_log/json_log.h"
#include "map_task/choose_probe.h"

namespace toucanhollow {
namespace {

// The task looks at what is due this often.
constexpr Duration kTick = Milliseconds(20);
// Each host asks one rank this often what its group does.
constexpr Duration kProbePeriod = Milliseconds(100);
// Ranks without a known group are asked this often: all by the coordinator, so
// many at once by each other host.
constexpr Duration kDiscoveryPeriod = Milliseconds(250);
constexpr std::size_t kDiscoveredAtOnce = 6;

}  // namespace

GroupMapTask::GroupMapTask(EventLoop& loop,
                           HttpClient& client,
                           const EngineMapCodec& codec,
                           const CoordinatorSeat& seat,
                           GroupMapCallbacks callbacks)
    : loop(loop),
      callbacks(std::move(callbacks)),
      coordinator(loop, client, codec, seat),
      calls(loop, client, codec),
      // Hosts ask different ranks, so that none of them has all the calls.
      next_probe(HashText(seat.member)),
      timer(std::make_unique<Timer>(loop, kTick, kTick, [this] {
        this->Tick();
      })) {}

Result<bool> GroupMapTask::Start(const Address& local) {
  return this->calls.Open(local);
}

bool GroupMapTask::coordinates() const {
  const CoordinatorTerm& term = this->coordinator.term();
  return term.is_coordinator &&
         term.generation > this->versions.deposed_generation;
}

void GroupMapTask::Leave() {
  this->coordinator.Leave();
}

void GroupMapTask::TakeView() {
  this->services = this->callbacks.view();
  std::set<std::string> listed;
  for (const RankedService& service : this->services) {
    for (const RankAddress& rank : service.ranks) {
      listed.insert(rank.server);
    }
  }
  const GroupBoard before = this->board;
  KeepListed(this->board, listed);
  std::erase_if(this->unused_reports, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  if (this->board.places != before.places) {
    this->TellGroups();
  }
}

void GroupMapTask::TakeTerm() {
  const CoordinatorTerm& term = this->coordinator.term();
  this->versions.coordinates = this->coordinates();
  if (term.generation != this->versions.generation) {
    // A round under way goes on: other members came or left, and should
    // another one have coordinated meanwhile, the reports show it.
    this->versions.generation = term.generation;
    this->versions.used = 0;
  }
}

void GroupMapTask::Tick() {
  const TimePoint now = EventLoop::Now();
  this->TakeTerm();
  const bool probes =
      !this->probe_open && now - this->probed_at >= kProbePeriod;
  if (this->versions.coordinates || probes) {
    this->TakeView();
  }
  if (probes) {
    this->Probe(now);
  }
  if (!this->discovery_open && now - this->discovered_at >= kDiscoveryPeriod) {
    this->Discover(now);
  }
  if (!this->versions.coordinates) {
    for (const auto& [key, group] : this->rounds) {
      group->Stop();
    }
  } else {
    this->AssignRanks();
    for (const auto& [key, group] : this->rounds) {
      group->Tick(now);
    }
  }
  this->TellSlowRanks();
}

void GroupMapTask::Probe(TimePoint now) {
  std::vector<std::string> servers;
  for (const RankedService& service : this->services) {
    for (const RankAddress& rank : service.ranks) {
      servers.push_back(rank.server);
    }
  }
  const auto chosen = ChooseProbe(this->board, servers, this->next_probe++);
  this->probed_at = now;
  if (!chosen) {
    return;
  }
  for (const RankedService& service : this->services) {
    const auto rank =
        std::ranges::find(service.ranks, *chosen, &RankAddress::server);
    if (rank == service.ranks.end()) {
      continue;
    }
    this->probe_open = true;
    this->calls.Start(
        {{*rank, {.kind = RankRequestKind::kReport}}}, false,
        [this, name = service.service](const std::vector<RankAnswer>& answers) {
          this->probe_open = false;
          const RankReply& reply = answers.front().reply;
          // Without a report, the next probe asks another rank.
          if (reply.report) {
            this->TakeReport(name, *reply.report);
          }
        });
    return;
  }
}

void GroupMapTask::Discover(TimePoint now) {
  for (const RankedService& service : this->services) {
    std::vector<RankCall> unknown;
    for (const RankAddress& rank : service.ranks) {
      if (!this->board.places.contains(rank.server)) {
        unknown.push_back({rank, {.kind = RankRequestKind::kReport}});
      }
    }
    if (unknown.empty()) {
      continue;
    }
    if (!this->versions.coordinates && unknown.size() > kDiscoveredAtOnce) {
      const auto first =
          static_cast<std::ptrdiff_t>(this->next_probe % unknown.size());
      std::rotate(unknown.begin(), unknown.begin() + first, unknown.end());
      unknown.resize(kDiscoveredAtOnce);
    }
    this->discovered_at = now;
    this->discovery_open = true;
    // Calls to engines have a price; the coordinator alone makes them.
    this->calls.Start(
        unknown, this->versions.coordinates,
        [this, name = service.service](const std::vector<RankAnswer>& answers) {
          this->discovery_open = false;
          for (const RankAnswer& answer : answers) {
            if (answer.reply.report) {
              this->TakeReport(name, *answer.reply.report);
            }
          }
        });
    return;
  }
}

void GroupMapTask::TakeReport(const ServiceName& service,
                              const RankReport& report) {
  const RankPlace* place = nullptr;
  const GroupState* state = GroupOf(this->board, report.server);
  if (state != nullptr) {
    place = &this->board.places.at(report.server);
  }
  const bool same = state != nullptr && place->group.name == report.group &&
                    place->rank == report.rank &&
                    state->epoch == report.epoch && state->open == report.open;
  const ReportUse use =
      TakeRankReport(this->board, service, report, EventLoop::Now());
  if (use != ReportUse::kTaken) {
    const auto [logged, is_new] =
        this->unused_reports.try_emplace(report.server, use);
    if (is_new || logged->second != use) {
      logged->second = use;
      LogJsonNow("rank_report_unused",
                 {{"server", std::string_view(report.server)},
                  {"why", DescribeReportUse(use)},
                  {"group", std::string_view(report.group)},
                  {"epoch", report.epoch}});
    }
    return;
  }
  this->unused_reports.erase(report.server);
  if (!same) {
    this->TellGroups();
  }
}

void GroupMapTask::TellGroups() {
  this->callbacks.on_groups(this->board);
}

void GroupMapTask::AssignRanks() {
  std::map<GroupKey, std::vector<RankAddress>> by_group;
  std::map<GroupKey, ExpertFigures> figures;
  for (const RankedService& service : this->services) {
    for (const RankAddress& rank : service.ranks) {
      const auto place = this->board.places.find(rank.server);
      if (place != this->board.places.end()) {
        by_group[place->second.group].push_back(rank);
        figures[place->second.group] = service.figures;
      }
    }
  }
  std::erase_if(this->rounds, [&by_group](const auto& entry) {
    return !by_group.contains(entry.first);
  });
  for (auto& [key, ranks] : by_group) {
    auto& group = this->rounds[key];
    if (group == nullptr) {
      group = std::make_unique<GroupRounds>(
          key, this->calls, this->versions,
          [this, service = key.service](const RankReport& report) {
            this->TakeReport(service, report);
          });
    }
    group->SetRanks(std::move(ranks), figures[key]);
  }
}

void GroupMapTask::TellSlowRanks() {
  std::set<std::string> slow;
  for (const auto& [key, group] : this->rounds) {
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
