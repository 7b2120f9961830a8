#include "cold_start_bench/simulate.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/hash.h"
#include "traffic/permit_ledger.h"
#include "traffic/server_limit.h"

namespace toucanhollow {
namespace {

// A bound on the requests of all hosts together in any span.
struct FloodBound {
  double max_requests = 0;
  Duration span{};
  // What an issuer gives for it.
  PermitRate permits;
};

// Of the deployment that broke the bound of a cold server.
constexpr double kColdRequestsPerSecond = 14;
constexpr double kMaxColdRequests = 26;

// A server that names a limit of 2 requests a second: 1.5 x 2 x 4 + 5 in 4 s.
constexpr double kLimitPerSecond = 2;
constexpr double kMaxLimitedRequests = 17;
constexpr Duration kLimitSpan = Seconds(4);
// Hosts have their first answer that names the limit within this time, and are
// bound after it for kHostBoundAfter. The whole fleet is after kStableWindow.
constexpr Duration kMaxAnswerTime = Seconds(1);
constexpr Duration kHostBoundAfter = Milliseconds(500);
constexpr Duration kStableWindow = Seconds(3);
constexpr Duration kLimitPlayed = Seconds(16);

// The fraction of the bound that hosts divide which do not ask an agent.
constexpr double kUsableShare = 0.7;
constexpr Duration kStep = Milliseconds(1);
constexpr TimePoint kBegin{Seconds(100)};
constexpr Duration kPlayed = Seconds(8);
constexpr Duration kEventAt = Seconds(3);
// Hosts learn of others within this time after all have started.
constexpr Duration kDiscovery = Milliseconds(1500);
constexpr int kSeeds = 3;
// A server's news reach a host up to this long after it turned cold.
constexpr Duration kMaxNewsDelay = Seconds(2);
// A question to an agent and its answer.
constexpr Duration kPermitRoundTrip = Milliseconds(3);
constexpr Duration kMaxWait = Milliseconds(200);
constexpr Duration kAtOnce = Milliseconds(10);
constexpr Duration kHangTime = Seconds(2);
// Requests that a host has for the server during a flood.
constexpr Duration kFloodGap = Milliseconds(50);

// How a host sees the fleet.
struct View {
  std::vector<int> hosts;  // itself included
  // The host's rank among them by server, once it was asked for.
  std::map<int, int> ranks = {};
};

struct Server {
  PermitLedger agent;
  // Times of the last span, by host.
  std::vector<std::deque<TimePoint>> sent_by_host;
  std::deque<TimePoint> arrived;
  std::size_t most_in_span = 0;
};

struct Fleet {
  ColdPolicy policy;
  FloodBound bound;
  std::vector<View> views;
  std::vector<Server> servers;
  std::vector<Duration> news_delay;  // by host
  TimePoint cold_from = TimePoint::max();
  std::mt19937_64 random;
};

View FullView(int hosts) {
  View view;
  for (int host = 0; host < hosts; ++host) {
    view.hosts.push_back(host);
  }
  return view;
}

FloodBound ColdFloodBound() {
  return {kMaxColdRequests, Seconds(1),
          FindPermitRate(kColdRequestsPerSecond, ColdBound{})};
}

FloodBound LimitBound() {
  return {kMaxLimitedRequests, kLimitSpan, FindLimitRate(kLimitPerSecond)};
}

Fleet MakeFleet(ColdPolicy policy,
                const FloodBound& bound,
                int hosts,
                int servers,
                std::uint64_t seed) {
  Fleet fleet{
      policy, bound, {}, {}, {}, TimePoint::max(), std::mt19937_64(seed)};
  fleet.views.assign(hosts, FullView(hosts));
  fleet.servers.resize(servers);
  std::uniform_int_distribution<Duration::rep> delay(0, kMaxNewsDelay.count());
  for (int host = 0; host < hosts; ++host) {
    fleet.news_delay.emplace_back(delay(fleet.random));
  }
  for (Server& server : fleet.servers) {
    server.sent_by_host.resize(hosts);
  }
  return fleet;
}

// The rank of the host among those it knows, in an order that differs between
// servers.
int RankOf(View& view, int host, int server) {
  const auto [rank, is_new] = view.ranks.try_emplace(server, 0);
  if (is_new) {
    const auto score = [server](int candidate) {
      return RendezvousScore(std::to_string(server), std::to_string(candidate));
    };
    const std::uint64_t own = score(host);
    rank->second = static_cast<int>(std::ranges::count_if(
        view.hosts, [&](int other) { return score(other) > own; }));
  }
  return rank->second;
}

int CountInSpan(std::deque<TimePoint>& sent, Duration span, TimePoint now) {
  while (!sent.empty() && now - sent.front() >= span) {
    sent.pop_front();
  }
  return static_cast<int>(sent.size());
}

bool MaySend(Fleet& fleet, int host, int number, TimePoint now) {
  View& view = fleet.views[host];
  const auto known = static_cast<int>(view.hosts.size());
  Server& server = fleet.servers[number];
  std::deque<TimePoint>& sent = server.sent_by_host[host];
  const FloodBound& bound = fleet.bound;
  const double usable = bound.max_requests * kUsableShare;
  const int share = std::max(static_cast<int>(usable / known), 1);
  const auto sent_in_span = [&] { return CountInSpan(sent, bound.span, now); };
  switch (fleet.policy) {
    case ColdPolicy::kShareWithMinimum:
      return sent_in_span() < share;
    case ColdPolicy::kShare: {
      const std::chrono::duration<double> interval =
          std::chrono::duration<double>(bound.span) * (known / usable);
      return sent.empty() || now - sent.back() >= interval;
    }
    case ColdPolicy::kSubset:
      return sent_in_span() < share &&
             RankOf(view, host, number) < static_cast<int>(usable);
    case ColdPolicy::kTurns: {
      // A span may overlap two slots.
      const int hosts_in_slot = static_cast<int>(bound.max_requests) / 2;
      const int slots = (known + hosts_in_slot - 1) / hosts_in_slot;
      const auto slot = (now - TimePoint()) / bound.span % slots;
      return RankOf(view, host, number) / hosts_in_slot == slot &&
             sent_in_span() < std::max(hosts_in_slot / known, 1);
    }
    case ColdPolicy::kWarmKnown:
      return now < fleet.cold_from + fleet.news_delay[host] ||
             sent_in_span() < share;
    case ColdPolicy::kPermits:
      return GivePermit(server.agent, 0, bound.permits, now).granted;
  }
  return false;
}

void RecordDecision(Server& server, int host, TimePoint now) {
  server.sent_by_host[host].push_back(now);
}

void Arrive(Server& server, Duration span, TimePoint now) {
  server.arrived.push_back(now);
  CountInSpan(server.arrived, span, now);
  server.most_in_span = std::max(server.most_in_span, server.arrived.size());
}

void Restart(Fleet& fleet, TimePoint now) {
  for (Server& server : fleet.servers) {
    server.agent = {.empty_at = now, .buckets = {}};
    for (std::deque<TimePoint>& sent : server.sent_by_host) {
      sent.clear();
    }
  }
  for (std::size_t host = 0; host < fleet.views.size(); ++host) {
    View view = FullView(kSeeds);
    if (host >= kSeeds) {
      view.hosts.push_back(static_cast<int>(host));
    }
    fleet.views[host] = view;
  }
}

void Split(Fleet& fleet) {
  const std::size_t half = fleet.views.size() / 2;
  const View all = fleet.views.front();
  for (std::size_t host = 0; host < fleet.views.size(); ++host) {
    const auto begin = all.hosts.begin();
    const auto middle = begin + static_cast<std::ptrdiff_t>(half);
    fleet.views[host] = {host < half
                             ? std::vector<int>(begin, middle)
                             : std::vector<int>(middle, all.hosts.end())};
  }
}

void MakeViewsDiffer(Fleet& fleet) {
  const View all = fleet.views.front();
  std::bernoulli_distribution hears(0.5);
  for (std::size_t host = 0; host < fleet.views.size(); ++host) {
    View view;
    for (const int other : all.hosts) {
      if (other == static_cast<int>(host) || hears(fleet.random)) {
        view.hosts.push_back(other);
      }
    }
    fleet.views[host] = view;
  }
}

void ApplyEvent(Fleet& fleet, FleetEvent event, TimePoint now) {
  const Duration time = now - kBegin;
  if (event == FleetEvent::kPowerLoss && time == kEventAt + kDiscovery) {
    for (View& view : fleet.views) {
      view = FullView(static_cast<int>(fleet.views.size()));
    }
  }
  if (time != kEventAt) {
    return;
  }
  fleet.cold_from = now;
  switch (event) {
    case FleetEvent::kPowerLoss:
      Restart(fleet, now);
      break;
    case FleetEvent::kSplit:
      Split(fleet);
      break;
    case FleetEvent::kDifferingViews:
      MakeViewsDiffer(fleet);
      break;
    case FleetEvent::kNone:
    case FleetEvent::kLateConnections:
      break;
  }
}

// When a request whose server was chosen at `now` is written, if it is.
std::optional<TimePoint> WrittenAt(ColdPolicy policy,
                                   FleetEvent event,
                                   TimePoint now) {
  const TimePoint connected = kBegin + kEventAt + kHangTime;
  if (event != FleetEvent::kLateConnections || now < kBegin + kEventAt ||
      now >= connected) {
    return now;
  }
  // A permit has expired by then.
  const bool expires = policy == ColdPolicy::kPermits;
  return expires && connected - now > kPermitUseTime ? std::nullopt
                                                     : std::optional(connected);
}

}  // namespace

std::string_view ColdPolicyName(ColdPolicy policy) {
  switch (policy) {
    case ColdPolicy::kShareWithMinimum:
      return "share, at least 1 in a span";
    case ColdPolicy::kShare:
      return "share without a minimum";
    case ColdPolicy::kSubset:
      return "subset of hosts for each server";
    case ColdPolicy::kTurns:
      return "turns";
    case ColdPolicy::kWarmKnown:
      return "no limit while known to be warm";
    case ColdPolicy::kPermits:
      return "permits of the agent (ours)";
  }
  return "";
}

std::string_view FleetEventName(FleetEvent event) {
  switch (event) {
    case FleetEvent::kNone:
      return "nothing";
    case FleetEvent::kPowerLoss:
      return "loss of power";
    case FleetEvent::kSplit:
      return "split in halves";
    case FleetEvent::kDifferingViews:
      return "differing views";
    case FleetEvent::kLateConnections:
      return "late connections";
  }
  return "";
}

int SimulateFlood(ColdPolicy policy,
                  FleetEvent event,
                  int hosts,
                  std::uint64_t seed) {
  Fleet fleet = MakeFleet(policy, ColdFloodBound(), hosts, 1, seed);
  Server& server = fleet.servers.front();
  std::vector<TimePoint> next_request(hosts, kBegin);
  std::deque<TimePoint> held;
  for (TimePoint now = kBegin; now < kBegin + kPlayed; now += kStep) {
    ApplyEvent(fleet, event, now);
    if (now == fleet.cold_from) {
      // The bound is that of a cold server.
      server.most_in_span = 0;
      server.arrived.clear();
    }
    for (; !held.empty() && held.front() <= now; held.pop_front()) {
      Arrive(server, fleet.bound.span, now);
    }
    for (int host = 0; host < hosts; ++host) {
      if (now < next_request[host] || !MaySend(fleet, host, 0, now)) {
        continue;
      }
      RecordDecision(server, host, now);
      next_request[host] = now + kFloodGap;
      const std::optional<TimePoint> written = WrittenAt(policy, event, now);
      if (written && *written > now) {
        held.push_back(*written);
      } else if (written) {
        Arrive(server, fleet.bound.span, now);
      }
    }
  }
  return static_cast<int>(server.most_in_span);
}

int SimulateLimit(ColdPolicy policy,
                  FleetEvent event,
                  int hosts,
                  std::uint64_t seed) {
  Fleet fleet = MakeFleet(policy, LimitBound(), hosts, 1, seed);
  Server& server = fleet.servers.front();
  std::uniform_int_distribution<Duration::rep> answer_time(
      0, kMaxAnswerTime.count());
  // When each host has an answer that names the limit.
  std::vector<TimePoint> told_at(hosts);
  const auto tell_all = [&](TimePoint from) {
    for (TimePoint& told : told_at) {
      told = from + Duration(answer_time(fleet.random));
    }
  };
  tell_all(kBegin);
  std::vector<TimePoint> next_request(hosts, kBegin);
  // By the time at which they are written.
  std::multimap<TimePoint, int> held;
  const auto arrive = [&](int host, TimePoint now) {
    if (now - told_at[host] >= kHostBoundAfter) {
      Arrive(server, fleet.bound.span, now);
    }
  };
  for (TimePoint now = kBegin; now < kBegin + kLimitPlayed; now += kStep) {
    ApplyEvent(fleet, event, now);
    if (event == FleetEvent::kPowerLoss && now == kBegin + kEventAt) {
      tell_all(now);
    }
    if (now == kBegin + kStableWindow) {
      server.most_in_span = 0;
    }
    for (; !held.empty() && held.begin()->first <= now;
         held.erase(held.begin())) {
      arrive(held.begin()->second, now);
    }
    for (int host = 0; host < hosts; ++host) {
      const bool is_told = now >= told_at[host];
      if (now < next_request[host] ||
          (is_told && !MaySend(fleet, host, 0, now))) {
        continue;
      }
      if (is_told) {
        RecordDecision(server, host, now);
      }
      next_request[host] = now + kFloodGap;
      const std::optional<TimePoint> written = WrittenAt(policy, event, now);
      if (written && *written > now) {
        held.emplace(*written, host);
      } else if (written) {
        arrive(host, now);
      }
    }
  }
  return static_cast<int>(server.most_in_span);
}

SoundResult SimulateSound(ColdPolicy policy,
                          const SoundLoad& load,
                          std::uint64_t seed) {
  struct Request {
    int host;
    TimePoint arrived_at;
  };
  Fleet fleet =
      MakeFleet(policy, ColdFloodBound(), load.hosts, load.servers, seed);
  const std::chrono::duration<double> step(kStep);
  std::poisson_distribution<int> arrivals(load.requests_per_s * step.count());
  std::uniform_int_distribution<int> any_host(0, load.hosts - 1);
  std::uniform_int_distribution<int> any_server(0, load.servers - 1);
  std::vector<Request> waiting;
  std::vector<Duration> waits;
  int requests = 0;
  int refused = 0;
  for (TimePoint now = kBegin; now < kBegin + kPlayed; now += kStep) {
    for (int i = arrivals(fleet.random); i > 0; --i) {
      waiting.push_back({any_host(fleet.random), now});
      ++requests;
    }
    std::erase_if(waiting, [&](const Request& request) {
      // A host tries one server after the other, each from a random place.
      const int first = any_server(fleet.random);
      for (int i = 0; i < load.servers; ++i) {
        const int number = (first + i) % load.servers;
        const Duration cost = policy == ColdPolicy::kPermits
                                  ? kPermitRoundTrip * (i + 1)
                                  : Duration(0);
        const Duration wait = now - request.arrived_at + cost;
        if (wait > kMaxWait) {
          ++refused;
          return true;
        }
        if (MaySend(fleet, request.host, number, now)) {
          RecordDecision(fleet.servers[number], request.host, now);
          waits.push_back(wait);
          return true;
        }
      }
      return false;
    });
  }
  std::ranges::sort(waits);
  SoundResult result;
  const auto at_once = std::ranges::upper_bound(waits, kAtOnce);
  result.sent_at_once = static_cast<double>(at_once - waits.begin()) / requests;
  result.refused = static_cast<double>(refused) / requests;
  if (!waits.empty()) {
    result.wait_p99_ms = ToMilliseconds(waits[waits.size() * 99 / 100]);
  }
  return result;
}

}  // namespace toucanhollow
