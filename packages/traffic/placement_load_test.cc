// Plays the load of many entry hosts that know each other's requests late, and
// checks how many callers find a server whose slots are all taken.
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
  // Time between two reports of one host to the others, s.
  double report_period = 0.24;
  int slots = 10;
};

struct Found {
  // Mean number of requests that a request found at its server.
  double mean = 0;
  // Part of the requests that found all slots taken.
  double full = 0;
};

// Streams last 1.3 s on average, as on a group that is evenly loaded.
constexpr double kMeanStream = 1.3;
constexpr double kSpread = 0.8;
constexpr int kRequests = 12000;
constexpr int kWarmUp = 2000;

class Model {
 public:
  Model(const Load& load, std::size_t choices, unsigned int seed)
      : load(load),
        choices(choices),
        random(seed),
        own(load.hosts, std::vector<int>(load.servers)),
        reported(own),
        board(load.servers),
        running(load.servers) {}

  Found Play() {
    std::exponential_distribution<double> gap(this->load.requests_per_s);
    std::uniform_int_distribution<int> any_host(0, this->load.hosts - 1);
    for (int host = 0; host < this->load.hosts; ++host) {
      this->events.emplace(this->load.report_period * host / this->load.hosts,
                           kReport, host);
    }
    double next = gap(this->random);
    Found found;
    for (int sent = 0; sent < kRequests;) {
      if (std::get<0>(this->events.top()) < next) {
        this->Advance();
        continue;
      }
      const int at = this->Send(any_host(this->random), next);
      next += gap(this->random);
      if (++sent > kWarmUp) {
        found.mean += at;
        found.full += at >= this->load.slots ? 1 : 0;
      }
    }
    found.mean /= kRequests - kWarmUp;
    found.full /= kRequests - kWarmUp;
    return found;
  }

 private:
  // Time, server whose request ends or kReport, host.
  using Event = std::tuple<double, int, int>;
  static constexpr int kReport = -1;

  void Advance() {
    const auto [time, server, host] = this->events.top();
    this->events.pop();
    if (server != kReport) {
      --this->own[host][server];
      --this->running[server];
      return;
    }
    for (int i = 0; i < this->load.servers; ++i) {
      this->board[i] += this->own[host][i] - this->reported[host][i];
    }
    this->reported[host] = this->own[host];
    this->events.emplace(time + this->load.report_period, kReport, host);
  }

  // Returns the requests that the chosen server had.
  int Send(int host, double now) {
    std::vector<ServerCandidate> candidates(this->load.servers);
    for (int i = 0; i < this->load.servers; ++i) {
      candidates[i].outstanding =
          this->own[host][i] + this->board[i] - this->reported[host][i];
      candidates[i].limit = kRequests;
    }
    PlacementRequest request;
    request.choices = this->choices;
    request.draw = this->random();
    const int server = static_cast<int>(
        *PlaceRequest(candidates, request, TimePoint(Seconds(1))));
    std::lognormal_distribution<double> length(
        std::log(kMeanStream) - kSpread * kSpread / 2, kSpread);
    this->events.emplace(now + length(this->random), server, host);
    ++this->own[host][server];
    return this->running[server]++;
  }

  Load load;
  std::size_t choices;
  std::mt19937 random;
  std::vector<std::vector<int>> own;       // by host and server
  std::vector<std::vector<int>> reported;  // what the others know of it
  std::vector<int> board;                  // sum of what was reported
  std::vector<int> running;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events;
};

Found Play(const Load& load, std::size_t choices) {
  Found sum;
  constexpr unsigned int kSeeds = 3;
  for (unsigned int seed = 1; seed <= kSeeds; ++seed) {
    const Found found = Model(load, choices, seed).Play();
    sum.mean += found.mean / kSeeds;
    sum.full += found.full / kSeeds;
  }
  return sum;
}

// Guards against hosts that all send to the server that was least loaded when
// they last heard: it gets more than its slots while others stand idle.
TEST_CASE("hosts with late knowledge spread their requests") {
  for (const Load& load : {Load{}, Load{.servers = 72},
                           Load{.hosts = 8,
                           .servers = 16,
                           .requests_per_s = 105,
                           .report_period = 0.06,
                           .slots = 12}}) {
    const Found drawn = Play(load, kDrawnServers);
    const Found least = Play(load, load.servers);
    const Found any = Play(load, 1);
    const Found two = Play(load, 2);
    INFO(load.servers << " servers; full: drawn " << drawn.full << ", least "
                      << least.full << ", any " << any.full << ", two "
                      << two.full << "; mean: drawn " << drawn.mean
                      << ", least " << least.mean << ", two " << two.mean);
    // One request in fifty may meet a full server on the heaviest day.
    CHECK(drawn.full <= 0.02);
    CHECK(drawn.full <= least.full);
    CHECK(drawn.full < any.full);
    CHECK(drawn.mean < two.mean);
  }
}

}  // namespace
}  // namespace toucanhollow
