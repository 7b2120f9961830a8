// Plays a fleet of entry hosts that all have more requests for one server than
// it can take, and counts the requests that reach it in any second.
#include "traffic/cold_start_rate.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// The rate of a cold server and the bound of the smallest deployment that broke
// it: 26 requests in a second.
constexpr double kColdRequestsPerSecond = 14;
constexpr ColdBound kBound{1.5, 5};
constexpr Duration kStep = Milliseconds(5);
constexpr Duration kPlayed = Seconds(8);

struct Host {
  ColdStartRate rate;
  // Hosts that this host believes to share the bound. A host that has just
  // started assumes 40.
  int counted_hosts = 40;
  bool running = true;
};

struct Fleet {
  std::vector<Host> hosts;
  std::mt19937 random{7};
  // New connections to the server are established at this time or at once.
  TimePoint connected_from;
  int connecting = 0;
  std::deque<TimePoint> arrived;  // in the last second
  std::size_t most_in_a_second = 0;
  int total = 0;

  explicit Fleet(int size) : hosts(size) {
    for (Host& host : this->hosts) {
      host.counted_hosts = size;
    }
  }
};

void Restart(Host& host) {
  host = {};
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

// What happens to the fleet before each step.
using Event = std::function<void(Fleet& fleet, TimePoint now)>;

void Play(Fleet& fleet, const Event& event) {
  for (TimePoint now(Seconds(1)); now < TimePoint(Seconds(1)) + kPlayed;
       now += kStep) {
    event(fleet, now);
    int placed = 0;
    for (Host& host : fleet.hosts) {
      if (host.running && CanSend(host.rate, kColdRequestsPerSecond, kBound,
                                  host.counted_hosts, now)) {
        RecordSend(host.rate, now);
        ++placed;
      }
    }
    fleet.connecting += placed;
    if (now >= fleet.connected_from) {
      for (; fleet.connecting > 0; --fleet.connecting) {
        Arrive(fleet, now);
      }
    }
  }
}

bool IsAt(TimePoint now, Duration time) {
  return now - TimePoint(Seconds(1)) == time;
}

void LosePower(Fleet& fleet, TimePoint now) {
  for (Host& host : fleet.hosts) {
    if (IsAt(now, Seconds(2))) {
      host.running = false;
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
    // The new hosts know nobody yet, and nobody knows them.
    fleet.hosts.resize(fleet.hosts.size() * 4 / 3);
  }
}

void Leave(Fleet& fleet, TimePoint now) {
  if (IsAt(now, Seconds(3))) {
    const std::size_t left = fleet.hosts.size() * 2 / 3;
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
      fleet.hosts[i].running = i < left;
      fleet.hosts[i].counted_hosts = static_cast<int>(left);
    }
  }
}

// Half of the hosts are cut off from the others and count only themselves.
void SplitInTwo(Fleet& fleet, TimePoint now) {
  if (IsAt(now, Seconds(3))) {
    for (Host& host : fleet.hosts) {
      host.counted_hosts = static_cast<int>(fleet.hosts.size() / 2);
    }
  }
}

void CountDifferently(Fleet& fleet, TimePoint now) {
  if (!IsAt(now, Seconds(3))) {
    return;
  }
  std::uniform_int_distribution<int> any(1,
                                         static_cast<int>(fleet.hosts.size()));
  for (Host& host : fleet.hosts) {
    host.counted_hosts = any(fleet.random);
  }
}

// New connections hang, as while packets to the server are lost, and are then
// established together.
void DelayConnections(Fleet& fleet, TimePoint now) {
  if (IsAt(now, Seconds(3))) {
    fleet.connected_from = now + Seconds(3);
  }
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
          {"half of the hosts are cut off from the others", SplitInTwo},
          {"hosts count each other differently", CountDifferently},
          {"connections are established late", DelayConnections}};
}

// Guards against a bound that each host keeps by itself and that all hosts
// together exceed, because every host may send a minimum or forgets what it
// sent.
TEST_CASE("any number of hosts stays within the bound of a cold server") {
  const double bound =
      kColdRequestsPerSecond * kBound.burst_factor + kBound.slack;
  for (const int size : {34, 100, 300}) {
    for (const Scenario& scenario : Scenarios()) {
      Fleet fleet(size);
      Play(fleet, scenario.event);
      INFO(size << " hosts, " << scenario.name);
      CHECK(static_cast<double>(fleet.most_in_a_second) <= bound);
    }
  }
}

// Guards against a bound that leaves a warm server idle: it can take at least
// the requests that a cold one can.
TEST_CASE("a fleet sends a server what it can take") {
  for (const int size : {34, 100, 300}) {
    Fleet fleet(size);
    Play(fleet, [](Fleet&, TimePoint) {});
    INFO(size << " hosts");
    CHECK(fleet.total >= kColdRequestsPerSecond *
                             std::chrono::duration<double>(kPlayed).count());
  }
}

}  // namespace
}  // namespace toucanhollow
