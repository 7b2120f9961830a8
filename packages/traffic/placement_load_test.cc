// Simulates many entry hosts that learn of each other's requests with a delay,
// and checks how many requests are sent to a server whose slots are all taken.
#include "traffic/place_request.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

struct Load {
  int hosts = 34;
  int servers = 48;
  double requests_per_s = 241;
  // Time between two reports of one host to the others, in s.
  double report_period = 0.24;
  int slots = 10;
};

struct PlacementStats {
  // Mean number of requests at the chosen server when a request is sent.
  double mean = 0;
  // Fraction of the requests that were sent to a server without a free slot.
  double full = 0;
};

// Streams last 1.3 s on average, as on a model group that is evenly loaded.
constexpr double kMeanStreamSeconds = 1.3;
constexpr double kStreamLogSigma = 0.8;
constexpr int kRequests = 12000;
constexpr int kWarmUpRequests = 2000;

class Simulation {
 public:
  Simulation(const Load& load, std::size_t sample_size, unsigned int seed)
      : load(load),
        sample_size(sample_size),
        random(seed),
        outstanding_by_host(load.hosts, std::vector<int>(load.servers)),
        reported_by_host(outstanding_by_host),
        reported_sums(load.servers),
        running(load.servers) {}

  PlacementStats Simulate() {
    std::exponential_distribution<double> gap(this->load.requests_per_s);
    std::uniform_int_distribution<int> any_host(0, this->load.hosts - 1);
    for (int host = 0; host < this->load.hosts; ++host) {
      this->events.emplace(this->load.report_period * host / this->load.hosts,
                           kReport, host);
    }
    double next = gap(this->random);
    PlacementStats stats;
    for (int sent = 0; sent < kRequests;) {
      if (std::get<0>(this->events.top()) < next) {
        this->Advance();
        continue;
      }
      const int server_load = this->Send(any_host(this->random), next);
      next += gap(this->random);
      if (++sent > kWarmUpRequests) {
        stats.mean += server_load;
        stats.full += server_load >= this->load.slots ? 1 : 0;
      }
    }
    stats.mean /= kRequests - kWarmUpRequests;
    stats.full /= kRequests - kWarmUpRequests;
    return stats;
  }

 private:
  // Time, server whose request ends (or kReport), host.
  using Event = std::tuple<double, int, int>;
  static constexpr int kReport = -1;

  void Advance() {
    const auto [time, server, host] = this->events.top();
    this->events.pop();
    if (server != kReport) {
      --this->outstanding_by_host[host][server];
      --this->running[server];
      return;
    }
    for (int i = 0; i < this->load.servers; ++i) {
      this->reported_sums[i] +=
          this->outstanding_by_host[host][i] - this->reported_by_host[host][i];
    }
    this->reported_by_host[host] = this->outstanding_by_host[host];
    this->events.emplace(time + this->load.report_period, kReport, host);
  }

  // Returns the number of requests that the chosen server had before.
  int Send(int host, double now) {
    std::vector<ServerCandidate> candidates(this->load.servers);
    for (int i = 0; i < this->load.servers; ++i) {
      candidates[i].outstanding = this->outstanding_by_host[host][i] +
                                  this->reported_sums[i] -
                                  this->reported_by_host[host][i];
      candidates[i].limit = kRequests;
    }
    PlacementRequest request;
    request.sample_size = this->sample_size;
    request.seed = this->random();
    const int server = static_cast<int>(
        *PlaceRequest(candidates, request, TimePoint(Seconds(1))));
    std::lognormal_distribution<double> length(
        std::log(kMeanStreamSeconds) - kStreamLogSigma * kStreamLogSigma / 2,
        kStreamLogSigma);
    this->events.emplace(now + length(this->random), server, host);
    ++this->outstanding_by_host[host][server];
    return this->running[server]++;
  }

  Load load;
  std::size_t sample_size;
  std::mt19937 random;
  std::vector<std::vector<int>> outstanding_by_host;  // by host and server
  std::vector<std::vector<int>> reported_by_host;     // as known to the others
  std::vector<int> reported_sums;  // sum of what was reported
  std::vector<int> running;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events;
};

PlacementStats Simulate(const Load& load, std::size_t sample_size) {
  PlacementStats sum;
  constexpr unsigned int kSeeds = 3;
  for (unsigned int seed = 1; seed <= kSeeds; ++seed) {
    const PlacementStats stats = Simulation(load, sample_size, seed).Simulate();
    sum.mean += stats.mean / kSeeds;
    sum.full += stats.full / kSeeds;
  }
  return sum;
}

// Guards against all hosts sending to the server that was least loaded by the
// last reports: it gets more requests than its slots while others are idle.
TEST_CASE("hosts with outdated load reports spread their requests") {
  for (const Load& load : {Load{}, Load{.servers = 72},
                           Load{.hosts = 8,
                           .servers = 16,
                           .requests_per_s = 105,
                           .report_period = 0.06,
                           .slots = 12}}) {
    const PlacementStats sampled = Simulate(load, kSampledServers);
    const PlacementStats least_loaded = Simulate(load, load.servers);
    const PlacementStats random_choice = Simulate(load, 1);
    const PlacementStats best_of_two = Simulate(load, 2);
    INFO(load.servers << " servers; fraction sent to full servers: sampled "
                      << sampled.full << ", least loaded " << least_loaded.full
                      << ", random " << random_choice.full << ", best of two "
                      << best_of_two.full << "; mean load: sampled "
                      << sampled.mean << ", least loaded " << least_loaded.mean
                      << ", best of two " << best_of_two.mean);
    // At peak load, at most 2% of the requests may be sent to a full server.
    CHECK(sampled.full <= 0.02);
    CHECK(sampled.full <= least_loaded.full);
    CHECK(sampled.full < random_choice.full);
    CHECK(sampled.mean < best_of_two.mean);
  }
}

}  // namespace
}  // namespace toucanhollow
