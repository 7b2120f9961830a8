// Plays a fleet of entry hosts that all have more requests for one server than
// it can take, and counts the requests that reach it in any second.
#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/permit_availability.h"
#include "traffic/permit_ledger.h"

namespace toucanhollow {
namespace {

// The rate of a cold server and the bound of the smallest deployment that broke
// it: 26 requests in a second.
constexpr double kColdRequestsPerSecond = 14;
constexpr ColdBound kBound{1.5, 5};
constexpr std::uint32_t kServer = 1;
constexpr Duration kStep = Milliseconds(5);
constexpr Duration kNetworkDelay = Milliseconds(5);
constexpr TimePoint kBegin{Seconds(1)};
constexpr Duration kPlayed = Seconds(10);
// Requests of a host that wait for a permit at the same time.
constexpr int kAsksPerHost = 2;

struct Host {
  PermitAvailability availability;
  int open_asks = 0;
  // A host that stands still reads nothing, writes nothing and sees no time-out
  // until it goes on.
  TimePoint stands_until;
  bool cut_off = false;
  bool has_requests = true;
  // Datagrams to a host that has stopped or was replaced are lost.
  bool running = true;
};

struct Fleet {
  std::vector<std::shared_ptr<Host>> hosts;
  PermitLedger agent;
  bool agent_running = true;
  double lost_datagrams = 0;
  // New connections to the server are established at this time or at once.
  TimePoint connected_from;
  std::mt19937 random{7};
  // What happens at a later time.
  std::multimap<TimePoint, std::function<void(TimePoint now)>> later;
  std::deque<TimePoint> arrived;  // in the last second
  std::size_t most_in_a_second = 0;
  int total = 0;

  // The agent has run for long.
  explicit Fleet(int size) { AddHosts(*this, size); }

  static void AddHosts(Fleet& fleet, int count) {
    for (int i = 0; i < count; ++i) {
      fleet.hosts.push_back(std::make_shared<Host>());
    }
  }
};

using HostPointer = std::shared_ptr<Host>;

// Runs the action once the host does not stand still, if it still runs then.
void AtHost(Fleet& fleet,
            const HostPointer& host,
            TimePoint time,
            const std::function<void(TimePoint now)>& action) {
  fleet.later.emplace(time, [&fleet, host, action](TimePoint now) {
    if (now < host->stands_until) {
      AtHost(fleet, host, host->stands_until, action);
    } else if (host->running) {
      action(now);
    }
  });
}

void Arrive(Fleet& fleet, TimePoint now) {
  while (!fleet.arrived.empty() && now - fleet.arrived.front() >= Seconds(1)) {
    fleet.arrived.pop_front();
  }
  fleet.arrived.push_back(now);
  fleet.most_in_a_second =
      std::max(fleet.most_in_a_second, fleet.arrived.size());
  ++fleet.total;
}

bool IsLost(Fleet& fleet, const Host& host) {
  return host.cut_off ||
         std::bernoulli_distribution(fleet.lost_datagrams)(fleet.random);
}

// One request of the host for a permit, and the request to the server if it is
// granted.
void Ask(Fleet& fleet, const HostPointer& host, TimePoint asked_at) {
  host->availability = RecordAsk(host->availability, asked_at);
  ++host->open_asks;
  const auto answered = std::make_shared<bool>(false);
  const TimePoint use_until = asked_at + kPermitUseTime;
  const auto on_reply = [&fleet, host, answered, use_until](
                            const PermitDecision& decision, TimePoint now) {
    if (std::exchange(*answered, true)) {
      return;
    }
    --host->open_asks;
    if (!decision.granted) {
      host->availability =
          RecordDenial(host->availability, decision.wait, fleet.random(), now);
      return;
    }
    host->availability = RecordGrant();
    AtHost(fleet, host, std::max(now, fleet.connected_from),
           [&fleet, use_until](TimePoint written_at) {
             if (written_at <= use_until) {
               Arrive(fleet, written_at);
             }
           });
  };
  if (!IsLost(fleet, *host)) {
    fleet.later.emplace(
        asked_at + kNetworkDelay, [&fleet, host, on_reply](TimePoint now) {
          if (!fleet.agent_running) {
            return;
          }
          const PermitDecision decision =
              GivePermit(fleet.agent, kServer,
                         FindPermitRate(kColdRequestsPerSecond, kBound), now);
          if (!IsLost(fleet, *host)) {
            AtHost(fleet, host, now + kNetworkDelay,
                   [on_reply, decision](TimePoint read_at) {
                     on_reply(decision, read_at);
                   });
          }
        });
  }
  AtHost(fleet, host, asked_at + kPermitAnswerTimeout,
         [host, answered](TimePoint now) {
           if (!std::exchange(*answered, true)) {
             --host->open_asks;
             host->availability = RecordTimeout(host->availability, now);
           }
         });
}

// What happens to the fleet before each step.
using Event = std::function<void(Fleet& fleet, TimePoint now)>;

void Play(Fleet& fleet, const Event& event) {
  for (TimePoint now = kBegin; now < kBegin + kPlayed; now += kStep) {
    event(fleet, now);
    while (!fleet.later.empty() && fleet.later.begin()->first <= now) {
      const auto action = std::move(fleet.later.begin()->second);
      fleet.later.erase(fleet.later.begin());
      action(now);
    }
    for (const HostPointer& host : fleet.hosts) {
      if (host->running && host->has_requests && now >= host->stands_until &&
          host->open_asks < kAsksPerHost &&
          now >= host->availability.ask_from) {
        Ask(fleet, host, now);
      }
    }
  }
}

bool IsAt(TimePoint now, Duration time) {
  return now - kBegin == time;
}

void Restart(HostPointer& host) {
  host->running = false;
  host = std::make_shared<Host>();
}

void LosePower(Fleet& fleet, TimePoint now) {
  if (IsAt(now, Seconds(2))) {
    fleet.agent_running = false;
  } else if (IsAt(now, Milliseconds(2300))) {
    fleet.agent = {.empty_at = now, .buckets = {}};
    fleet.agent_running = true;
  }
  for (HostPointer& host : fleet.hosts) {
    if (IsAt(now, Seconds(2))) {
      host->running = false;
    } else if (IsAt(now, Milliseconds(2300))) {
      Restart(host);
    }
  }
}

void RestartInTurn(Fleet& fleet, TimePoint now) {
  const auto step = static_cast<std::size_t>((now - TimePoint()) / kStep);
  Restart(fleet.hosts[step % fleet.hosts.size()]);
}

void Join(Fleet& fleet, TimePoint now) {
  if (IsAt(now, Seconds(3))) {
    Fleet::AddHosts(fleet, static_cast<int>(fleet.hosts.size()) / 3);
  }
}

void Leave(Fleet& fleet, TimePoint now) {
  if (IsAt(now, Seconds(3))) {
    for (std::size_t i = 0; i < fleet.hosts.size() / 3; ++i) {
      fleet.hosts[i]->running = false;
    }
  }
}

// Half of the hosts are cut off from the agent for two seconds.
void CutOffHalf(Fleet& fleet, TimePoint now) {
  for (std::size_t i = 0; i < fleet.hosts.size() / 2; ++i) {
    fleet.hosts[i]->cut_off =
        now >= kBegin + Seconds(3) && now < kBegin + Seconds(5);
  }
}

// The hosts have nothing to send for a long time, and then all have.
void BeIdleThenBusy(Fleet& fleet, TimePoint now) {
  for (const HostPointer& host : fleet.hosts) {
    host->has_requests = now >= kBegin + Seconds(6);
  }
}

// New connections hang, as while packets to the server are lost, and are then
// established together.
void DelayConnections(Fleet& fleet, TimePoint now) {
  if (IsAt(now, Seconds(3))) {
    fleet.connected_from = now + Seconds(3);
  }
}

// All hosts stand still for a moment, with permits in hand, and go on together.
void StandStill(Fleet& fleet, TimePoint now) {
  for (const Duration time : {Milliseconds(3000), Milliseconds(4500),
                              Milliseconds(6000), Milliseconds(7500)}) {
    for (const HostPointer& host : fleet.hosts) {
      if (IsAt(now, time)) {
        host->stands_until = now + (time - Milliseconds(2000)) / 5;
      }
    }
  }
}

// The agent restarts every 400 ms and takes 10 ms for it.
void RestartAgent(Fleet& fleet, TimePoint now) {
  const Duration phase = (now - kBegin) % Milliseconds(400);
  fleet.agent_running = phase >= Milliseconds(10);
  if (phase == Milliseconds(10)) {
    fleet.agent = {.empty_at = now, .buckets = {}};
  }
}

void LoseDatagrams(Fleet& fleet, TimePoint) {
  fleet.lost_datagrams = 0.1;
}

struct Scenario {
  std::string name;
  Event event;
};

std::vector<Scenario> Scenarios() {
  return {{"all hosts stay", [](Fleet&, TimePoint) {}},
          {"all hosts lose power", LosePower},
          {"hosts restart in turn", RestartInTurn},
          {"hosts join", Join},
          {"hosts leave", Leave},
          {"half of the hosts are cut off", CutOffHalf},
          {"hosts are idle and then busy", BeIdleThenBusy},
          {"connections are established late", DelayConnections},
          {"all hosts stand still", StandStill},
          {"the agent restarts again and again", RestartAgent},
          {"datagrams are lost", LoseDatagrams}};
}

// Guards against a bound that each host keeps by itself and that all hosts
// together exceed, because every host may send a minimum, forgets what it sent,
// counts the hosts wrongly or sends later than it decided to.
TEST_CASE("any number of hosts stays within the bound of a cold server") {
  const double bound =
      kColdRequestsPerSecond * kBound.burst_factor + kBound.slack;
  for (const int size : {34, 100, 300}) {
    for (const Scenario& scenario : Scenarios()) {
      Fleet fleet(size);
      Play(fleet, scenario.event);
      INFO(size << " hosts, " << scenario.name << ": " << fleet.total
                << " requests");
      CHECK(static_cast<double>(fleet.most_in_a_second) <= bound);
      CHECK(fleet.total > 0);
    }
  }
}

// Guards against a bound that leaves a warm server idle: it can take at least
// the requests that a cold one can.
TEST_CASE("a fleet sends a server what it can take") {
  for (const int size : {1, 34, 100, 300}) {
    Fleet fleet(size);
    Play(fleet, [](Fleet&, TimePoint) {});
    INFO(size << " hosts");
    CHECK(fleet.total >= kColdRequestsPerSecond *
                             std::chrono::duration<double>(kPlayed).count());
  }
}

}  // namespace
}  // namespace toucanhollow
