#include "relay/server_silence.h"

#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr TimePoint At(int ms) {
  return TimePoint(Seconds(100)) + Milliseconds(ms);
}

struct SilenceFixture {
  std::vector<std::pair<std::string, std::function<void(bool answers)>>> asked;
  ServerSilence silence{[this](const ListedServer& server,
                               std::function<void(bool answers)> done) {
    this->asked.emplace_back(server.id, std::move(done));
  }};
  ListedServer first;
  ListedServer second;

  SilenceFixture() {
    this->first.id = "i-1";
    this->second.id = "i-2";
  }
};

}  // namespace

TEST_CASE("a server is silent once its agent has left a question unanswered") {
  SilenceFixture fixture;
  CHECK_FALSE(fixture.silence.IsSilent(fixture.first, At(0)));
  REQUIRE(fixture.asked.size() == 1);
  CHECK(fixture.asked.front().first == "i-1");
  fixture.asked.front().second(false);
  CHECK(fixture.silence.IsSilent(fixture.first, At(100)));
  CHECK_FALSE(fixture.silence.IsSilent(fixture.second, At(100)));
  // It is asked again, and answers.
  CHECK(fixture.silence.IsSilent(fixture.first, At(200)));
  REQUIRE(fixture.asked.size() == 3);
  CHECK(fixture.asked.back().first == "i-1");
  fixture.asked.back().second(true);
  CHECK_FALSE(fixture.silence.IsSilent(fixture.first, At(300)));
}

// Guards against a question for each request that waits.
TEST_CASE("one question at a time is asked for each server") {
  SilenceFixture fixture;
  for (int ms = 0; ms < 2000; ms += 10) {
    fixture.silence.IsSilent(fixture.first, At(ms));
  }
  fixture.silence.Sweep(At(2000));
  fixture.silence.IsSilent(fixture.first, At(2000));
  CHECK(fixture.asked.size() == 1);
  fixture.asked.front().second(true);
  for (int ms = 2000; ms < 2000 + 140; ms += 10) {
    fixture.silence.IsSilent(fixture.first, At(ms));
  }
  CHECK(fixture.asked.size() == 2);
}

// Guards against a judgement that outlives the silence.
TEST_CASE("an old judgement does not count") {
  SilenceFixture fixture;
  fixture.silence.IsSilent(fixture.first, At(0));
  fixture.asked.front().second(false);
  SECTION("the server is asked about again much later") {
    CHECK_FALSE(fixture.silence.IsSilent(fixture.first, At(1500)));
    CHECK(fixture.asked.size() == 2);
  }
  SECTION("it was forgotten meanwhile") {
    fixture.silence.Sweep(At(1500));
    CHECK_FALSE(fixture.silence.IsSilent(fixture.first, At(1500)));
  }
}

TEST_CASE("an answer after the end of its asker is nobody's") {
  std::function<void(bool answers)> done;
  {
    ServerSilence silence(
        [&done](const ListedServer&, std::function<void(bool answers)> asked) {
          done = std::move(asked);
        });
    silence.IsSilent(ListedServer{}, At(0));
  }
  REQUIRE(done);
  done(false);
}

}  // namespace toucanhollow
