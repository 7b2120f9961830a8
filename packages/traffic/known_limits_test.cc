#include "traffic/known_limits.h"

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/permit_ledger.h"

namespace toucanhollow {
namespace {

constexpr std::uint32_t kServer = 7;

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

ServerLimit Named(double per_s, std::int64_t ms) {
  return {ServerLimitKind::kNamed, per_s, At(ms)};
}

ServerLimit Withdrawn(std::int64_t ms) {
  return {ServerLimitKind::kWithdrawn, 0, At(ms)};
}

// Guards against a limit that ends by old news, and one that does not end.
TEST_CASE("an issuer believes the latest statement of all hosts") {
  KnownLimits known;
  MergeLimit(known, kServer, 5, Withdrawn(90), At(100));
  CHECK(known.by_server.empty());
  MergeLimit(known, kServer, 5, Named(2, 100), At(101));
  MergeLimit(known, kServer, 5, Withdrawn(95), At(102));
  MergeLimit(known, kServer, 5, std::nullopt, At(103));
  CHECK(FindLimit(known, kServer, 5, At(104)) == Named(2, 100));
  CHECK(FindLimit(known, kServer, 0, At(104)) == Named(2, 100));
  CHECK_FALSE(FindLimit(known, kServer + 1, 5, At(104)));
  MergeLimit(known, kServer, 5, Withdrawn(104), At(150));
  MergeLimit(known, kServer, 5, Named(2, 100), At(160));
  CHECK_FALSE(FindLimit(known, kServer, 5, At(160)));
  MergeLimit(known, kServer, 5, Named(3, 170), At(180));
  CHECK(FindLimit(known, kServer, 5, At(180)) == Named(3, 170));
  // The hosts that knew it have ended.
  CHECK_FALSE(
      FindLimit(known, kServer, 5, At(180) + kKnownLimitLifetime + Seconds(1)));
}

// Guards against a server that is limited by what its former process named.
TEST_CASE("a limit ends with the server's process") {
  KnownLimits known;
  MergeLimit(known, kServer, 5, Named(2, 100), At(100));
  CHECK_FALSE(FindLimit(known, kServer + 1, 6, At(101)));
  MergeLimit(known, kServer, 6, std::nullopt, At(101));
  CHECK_FALSE(FindLimit(known, kServer, 6, At(101)));
  MergeLimit(known, kServer, 6, Named(4, 110), At(110));
  // A host that has not heard of the new process.
  MergeLimit(known, kServer, 5, Named(2, 120), At(120));
  CHECK(FindLimit(known, kServer, 5, At(120)) == Named(4, 110));
  MergeEngineLimit(known, 7, Withdrawn(130), At(131));
  CHECK_FALSE(FindLimit(known, kServer, 6, At(131)));
  MergeEngineLimit(known, 7, Named(1, 140), At(140));
  CHECK(FindLimit(known, kServer, 6, At(141)) == Named(1, 140));
  CHECK(FindLimit(known, kServer + 1, 7, At(141)) == Named(1, 140));
  // The agent has not asked the new process yet.
  CHECK_FALSE(FindLimit(known, kServer + 1, 8, At(141)));
  MergeEngineLimit(known, 6, Withdrawn(1), At(150));
  CHECK_FALSE(FindLimit(known, kServer + 1, 6, At(151)));
}

// Guards against reports that never name a limit and end one that the engine's
// answers to requests name.
TEST_CASE("a report ends a limit only if reports have named one") {
  KnownLimits known;
  MergeEngineLimit(known, 5, Withdrawn(90), At(91));
  MergeLimit(known, kServer, 5, Named(2, 100), At(101));
  MergeEngineLimit(known, 5, Withdrawn(110), At(111));
  CHECK(FindLimit(known, kServer, 5, At(112)) == Named(2, 100));
  MergeEngineLimit(known, 5, Named(2, 120), At(121));
  MergeEngineLimit(known, 5, Withdrawn(130), At(131));
  CHECK_FALSE(FindLimit(known, kServer, 5, At(132)));
  MergeEngineLimit(known, 6, Withdrawn(140), At(141));
  MergeLimit(known, kServer, 6, Named(3, 150), At(151));
  MergeEngineLimit(known, 6, Withdrawn(160), At(161));
  CHECK(FindLimit(known, kServer, 6, At(162)) == Named(3, 150));
}

// Guards against an issuer whose memory grows with the servers that are named.
TEST_CASE("an issuer knows a bounded number of limits") {
  KnownLimits known;
  for (std::uint32_t i = 0; i < 1000; ++i) {
    MergeLimit(known, i, 5, Named(2, 100 + i), At(100 + i));
  }
  CHECK(known.by_server.size() == known.max_servers);
  CHECK(FindLimit(known, 999, 5, At(1100)));
}

// Guards against a limited server that gets more in 4 s than 1.5 times its
// limit and 5 requests from all hosts together.
TEST_CASE("all hosts together stay within a server's limit") {
  constexpr std::int64_t kEndMs = 20'000;
  constexpr std::int64_t kWindowMs = 4000;
  const bool agent_restarts = GENERATE(false, true);
  for (const double limit : {0.0, 0.1, 0.5, 1.0, 2.3, 17.0, 120.0}) {
    for (const int hosts : {1, 8, 34, 300}) {
      std::mt19937_64 random(static_cast<std::uint64_t>(hosts));
      const PermitRate rate = FindLimitRate(limit);
      PermitLedger ledger;
      ledger.empty_at = At(-10'000);
      std::vector<std::int64_t> written;
      std::int64_t restart_ms = 300;
      for (std::int64_t ms = 0; ms < kEndMs; ++ms) {
        if (agent_restarts && ms == restart_ms) {
          ledger = {.empty_at = At(ms), .buckets = {}};
          restart_ms += 200 + static_cast<std::int64_t>(random() % 2000);
        }
        for (int host = 0; host < hosts; ++host) {
          // Each host asks every 20 ms, and may write late.
          if ((ms + host) % 20 == 0 &&
              GivePermit(ledger, kServer, rate, At(ms)).granted) {
            written.push_back(ms +
                              static_cast<std::int64_t>(
                                  random() % (kPermitLifetime.count() / 1000)));
          }
        }
      }
      std::ranges::sort(written);
      const double allowed = 1.5 * limit * kWindowMs / 1000 + 5;
      INFO(limit << " requests per second, " << hosts << " hosts");
      for (auto first = written.begin(); first != written.end(); ++first) {
        const auto last =
            std::lower_bound(first, written.end(), *first + kWindowMs);
        CHECK(static_cast<double>(last - first) <= allowed);
      }
      // What the server takes is used, and one that takes nothing is tried.
      if (!agent_restarts && hosts > 1) {
        CHECK(static_cast<double>(written.size()) >=
              std::max(limit, 0.2) * kEndMs / 1000 * 0.9);
      }
    }
  }
}

}  // namespace
}  // namespace toucanhollow
