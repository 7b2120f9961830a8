// Plays a fleet of entry hosts that all want to repeat every request, and
// counts the retries of all hosts together.
#include "traffic/retry_allowance.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/host_count.h"

namespace toucanhollow {
namespace {

// The bound of the smallest large deployment: a fifth of the requests and 202.
constexpr RetryBound kBound{0.2, Seconds(10), 202};
constexpr Duration kStep = Milliseconds(20);
constexpr TimePoint kBegin{Seconds(1)};
constexpr Duration kPlayed = Seconds(40);
// Requests of all hosts in a step: 300 in a second.
constexpr int kRequestsPerStep = 6;

struct Host {
  RetryAllowance allowance;
  HostCount count;
};

struct Fleet {
  std::vector<Host> hosts;
  std::size_t next_host = 0;
  // Hosts that a host hears of, itself included.
  int heard = 1;
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
  // The most by which the retries of a window exceeded those allowed.
  double most_above = -1e9;

  explicit Fleet(int size) : hosts(size), heard(size) {
    for (Host& host : this->hosts) {
      host.count.started_at = kBegin - Seconds(60);
      host.count.expects_others = true;
      host.count.most_heard = size;
    }
  }
};

void DropOld(std::deque<TimePoint>& times, TimePoint now) {
  while (!times.empty() && now - times.front() > kBound.window) {
    times.pop_front();
  }
}

using Event = std::function<void(Fleet& fleet, TimePoint now)>;

void Play(Fleet& fleet, const Event& event) {
  for (TimePoint now = kBegin; now < kBegin + kPlayed; now += kStep) {
    event(fleet, now);
    for (int i = 0; i < kRequestsPerStep; ++i) {
      Host& host = fleet.hosts[fleet.next_host++ % fleet.hosts.size()];
      CountRequest(host.allowance, kBound, now);
      fleet.requests.push_back(now);
    }
    for (Host& host : fleet.hosts) {
      host.count = RecordHosts(host.count, fleet.heard);
      while (SpendRetry(host.allowance, kBound, FindHostCount(host.count, now),
                        now)) {
        fleet.retries.push_back(now);
      }
    }
    DropOld(fleet.requests, now);
    DropOld(fleet.retries, now);
    const double allowed =
        kBound.ratio * static_cast<double>(fleet.requests.size()) +
        kBound.slack;
    fleet.most_above = std::max(
        fleet.most_above, static_cast<double>(fleet.retries.size()) - allowed);
  }
}

void RestartAll(Fleet& fleet, TimePoint now) {
  for (Host& host : fleet.hosts) {
    host = {};
    host.count.started_at = now;
    host.count.expects_others = true;
  }
}

// All hosts lose power twice; they hear of each other only after a while.
void LosePower(Fleet& fleet, TimePoint now) {
  const Duration time = now - kBegin;
  if (time == Seconds(15) || time == Seconds(18)) {
    RestartAll(fleet, now);
    fleet.heard = 4;
  } else if (time == Seconds(22)) {
    fleet.heard = static_cast<int>(fleet.hosts.size());
  }
}

// Hosts hear nothing of each other for longer than they remember contacts.
void CutOff(Fleet& fleet, TimePoint now) {
  if (now - kBegin == Seconds(15)) {
    fleet.heard = 1;
  }
}

void RestartInTurn(Fleet& fleet, TimePoint now) {
  // One host after the other, so that each has restarted within 30 s.
  const auto step = (now - kBegin) / kStep;
  const auto steps = Seconds(30) / kStep;
  const auto size = static_cast<std::int64_t>(fleet.hosts.size());
  const auto host =
      static_cast<std::size_t>(step * size / steps) % fleet.hosts.size();
  fleet.hosts[host] = {};
  fleet.hosts[host].count.started_at = now;
  fleet.hosts[host].count.expects_others = true;
}

struct Scenario {
  std::string name;
  Event event;
};

// Guards against a slack of which each host takes a share by itself, and which
// all hosts together exceed because they count too few hosts.
TEST_CASE("any number of hosts stays within the bound on retries") {
  const std::vector<Scenario> scenarios{
      {"all hosts stay", [](Fleet&, TimePoint) {}},
      {"all hosts lose power", LosePower},
      {"hosts are cut off", CutOff},
      {"hosts restart in turn", RestartInTurn}};
  for (const int size : {6, 34, 100, 300}) {
    for (const Scenario& scenario : scenarios) {
      Fleet fleet(size);
      Play(fleet, scenario.event);
      INFO(size << " hosts, " << scenario.name);
      CHECK(fleet.most_above <= 0);
      CHECK_FALSE(fleet.retries.empty());
    }
  }
}

TEST_CASE("a host knows the number of hosts after a while") {
  HostCount count;
  count.started_at = kBegin;
  count.expects_others = true;
  count = RecordHosts(count, 5);
  CHECK_FALSE(FindHostCount(count, kBegin + Seconds(9)));
  CHECK(FindHostCount(count, kBegin + Seconds(10)) == 5);
  // Hosts that are not heard any more may be cut off.
  CHECK(FindHostCount(RecordHosts(count, 2), kBegin + Seconds(60)) == 5);
  HostCount alone;
  alone.started_at = kBegin;
  CHECK(FindHostCount(alone, kBegin + Seconds(10)) == 1);
  alone.expects_others = true;
  CHECK_FALSE(FindHostCount(alone, kBegin + Seconds(60)));
}

}  // namespace
}  // namespace toucanhollow
