#include <limits>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "permit/answer_permit_request.h"
#include "permit/permit_client.h"
#include "permit/permit_codec.h"
#include "traffic/permit_availability.h"

namespace toucanhollow {
namespace {

TEST_CASE("permit messages survive encoding and decoding") {
  const PermitRequest request{1ULL << 60, 0xffffffff, {14.5, 6}};
  const std::string bytes = EncodePermitRequest(request);
  CHECK(IsPermitMessage(bytes));
  CHECK(DecodePermitRequest(bytes).value() == request);
  const PermitRequest isolated{
      3, 4, {14.5, 6}, PermitPurpose::kIsolatedRequest};
  CHECK(DecodePermitRequest(EncodePermitRequest(isolated)).value() == isolated);
  PermitRequest limited = request;
  limited.start_time_ms = 1'700'000'000'000;
  limited.limit = AgedLimit{ServerLimitKind::kNamed, 2.3, Milliseconds(1500)};
  CHECK(DecodePermitRequest(EncodePermitRequest(limited)).value() == limited);
  limited.limit->kind = ServerLimitKind::kWithdrawn;
  limited.purpose = PermitPurpose::kIsolatedRequest;
  CHECK(DecodePermitRequest(EncodePermitRequest(limited)).value() == limited);
  limited.limit.reset();
  CHECK(DecodePermitRequest(EncodePermitRequest(limited)).value() == limited);
  const PermitReply reply{7, false, Milliseconds(40)};
  CHECK(IsPermitMessage(EncodePermitReply(reply)));
  CHECK(DecodePermitReply(EncodePermitReply(reply)).value() == reply);
}

// Guards against a malformed datagram that ends a process or gets a permit.
TEST_CASE("malformed permit messages are refused") {
  CHECK_FALSE(IsPermitMessage(""));
  CHECK_FALSE(IsPermitMessage("\x84\x01"));
  const std::string request = EncodePermitRequest({1, 2, {14, 6}});
  PermitIssuer issuer;
  const Address host{"127.0.0.1", 7};
  const TimePoint now = TimePoint() + kPermitWindow;
  for (std::size_t size = 0; size < request.size(); ++size) {
    CHECK_FALSE(DecodePermitRequest(request.substr(0, size)));
    CHECK_FALSE(
        AnswerPermitRequest(issuer, host, request.substr(0, size), now));
  }
  for (std::size_t at = 0; at < request.size(); ++at) {
    for (const int flip : {0x01, 0x20, 0x80, 0xff}) {
      std::string changed = request;
      changed[at] = static_cast<char>(changed[at] ^ flip);
      // Neither throws, whatever they return.
      (void)DecodePermitRequest(changed);
      (void)DecodePermitReply(changed);
    }
  }
  CHECK(issuer == PermitIssuer{});
  const Result<std::string> reply =
      AnswerPermitRequest(issuer, host, request, now);
  REQUIRE(reply);
  CHECK(DecodePermitReply(reply.value()).value() ==
        PermitReply{1, true, Duration(0)});
  CHECK(issuer.permits.buckets.contains(2));
}

// Guards against a datagram after which a server gets no permits any more: a
// bucket that was refilled at such a rate never holds a permit again.
TEST_CASE("a rate that is no rate changes no bucket") {
  PermitIssuer issuer;
  const Address host{"127.0.0.1", 7};
  const TimePoint begin = TimePoint() + kPermitWindow;
  constexpr double kInfinite = std::numeric_limits<double>::infinity();
  constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
  for (const PermitRate& rate :
       {PermitRate{kNotANumber, 6}, PermitRate{14, kNotANumber},
        PermitRate{kInfinite, 6}, PermitRate{14, kInfinite},
        PermitRate{-1e300, 6}, PermitRate{14, -1e300}}) {
    CHECK_FALSE(AnswerPermitRequest(issuer, host,
                                    EncodePermitRequest({1, 2, rate}), begin));
  }
  const Result<std::string> reply = AnswerPermitRequest(
      issuer, host, EncodePermitRequest({1, 2, {14, 6}}), begin + Seconds(10));
  REQUIRE(reply);
  CHECK(DecodePermitReply(reply.value()).value().granted);
}

// Guards against a datagram that sets a limit for ever or is believed for ever.
TEST_CASE("a limit that is out of range is refused") {
  PermitIssuer issuer;
  constexpr double kInfinite = std::numeric_limits<double>::infinity();
  constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
  PermitRequest request{1, 2, {14, 6}};
  for (const AgedLimit& limit :
       {AgedLimit{ServerLimitKind::kNamed, kNotANumber, Duration(0)},
        AgedLimit{ServerLimitKind::kNamed, kInfinite, Duration(0)},
        AgedLimit{ServerLimitKind::kNamed, -1, Duration(0)},
        AgedLimit{ServerLimitKind::kNamed, 1e300, Duration(0)},
        AgedLimit{ServerLimitKind::kNamed, 1, Duration(-1)},
        AgedLimit{ServerLimitKind::kNamed, 1, Duration::max()},
        AgedLimit{static_cast<ServerLimitKind>(2), 1, Duration(0)}}) {
    request.limit = limit;
    CHECK_FALSE(AnswerPermitRequest(issuer, {"127.0.0.1", 7},
                                    EncodePermitRequest(request),
                                    TimePoint() + Seconds(10)));
  }
  CHECK(issuer == PermitIssuer{});
}

// Guards against a server that gets more than it takes from a host that does
// not know of the limit yet, and against a permit of one bound that is lost
// because the other bound denies it.
TEST_CASE("a request to a limited server needs a permit of both bounds") {
  PermitIssuer issuer;
  const TimePoint begin = TimePoint() + Seconds(100);
  BeginLedgers(issuer, 4, begin);
  const auto ask = [&issuer](const PermitRequest& request, TimePoint now) {
    const Result<std::string> reply = AnswerPermitRequest(
        issuer, {"127.0.0.1", 7}, EncodePermitRequest(request), now);
    REQUIRE(reply);
    return DecodePermitReply(reply.value()).value();
  };
  const PermitRequest unaware{1, 2, {10, 5}};
  PermitRequest aware = unaware;
  aware.limit = AgedLimit{ServerLimitKind::kNamed, 2, Duration(0)};
  // Both buckets are empty.
  CHECK_FALSE(ask(aware, begin).granted);
  const TimePoint later = begin + Seconds(1);
  CHECK(ask(unaware, later).granted);
  const PermitReply denied = ask(unaware, later);
  CHECK_FALSE(denied.granted);
  CHECK(denied.wait == Milliseconds(500));
  // Denials took nothing of the other bucket.
  CHECK(issuer.permits.buckets.at(2).permits == Approx(4));
  CHECK(issuer.denied_by_limit == 2);
  // Another server, and this one without a cold phase.
  CHECK(ask({1, 3, {0, 0}}, later).granted);
  CHECK_FALSE(ask({1, 2, {0, 0}}, later).granted);
  CHECK(ask({1, 2, {0, 0}}, later + Milliseconds(500)).granted);
  // Withdrawn by an answer to a request that was written after that.
  PermitRequest withdrawn = unaware;
  withdrawn.limit = AgedLimit{ServerLimitKind::kWithdrawn, 0, Milliseconds(9)};
  CHECK(ask(withdrawn, later + Milliseconds(600)).granted);
  CHECK(ask({1, 2, {0, 0}}, later + Milliseconds(600)).granted);
}

// Guards against a wait that does not fit its type.
TEST_CASE("a server with a tiny rate has a finite wait") {
  PermitIssuer issuer;
  for (const double per_s : {1e-300, 1e-12}) {
    const Result<std::string> reply = AnswerPermitRequest(
        issuer, {"127.0.0.1", 7}, EncodePermitRequest({1, 2, {per_s, 6}}),
        TimePoint() + kPermitWindow);
    REQUIRE(reply);
    const PermitReply decoded = DecodePermitReply(reply.value()).value();
    CHECK_FALSE(decoded.granted);
    CHECK(decoded.wait > Duration(0));
    CHECK(decoded.wait <= Seconds(10));
  }
}

// Guards against two isolated requests at a server, of which it could not be
// told which one crashed it.
TEST_CASE("a server gets one isolated request at a time") {
  PermitIssuer issuer;
  const TimePoint now = TimePoint() + kPermitWindow;
  const auto ask = [&](std::uint16_t port, PermitPurpose purpose) {
    const Result<std::string> reply =
        AnswerPermitRequest(issuer, {"127.0.0.1", port},
                            EncodePermitRequest({1, 2, {0, 0}, purpose}), now);
    REQUIRE(reply);
    return reply.value().empty() ? PermitReply{}
                                 : DecodePermitReply(reply.value()).value();
  };
  CHECK(ask(7, PermitPurpose::kIsolatedRequest).granted);
  CHECK(ask(8, PermitPurpose::kIsolatedRequest) ==
        PermitReply{1, false, kIsolationWait});
  // The end of another host's request is not its end.
  CHECK(ask(8, PermitPurpose::kEndIsolation) == PermitReply{});
  CHECK_FALSE(ask(8, PermitPurpose::kIsolatedRequest).granted);
  ask(7, PermitPurpose::kEndIsolation);
  CHECK(ask(8, PermitPurpose::kIsolatedRequest).granted);
  // An isolated request needs a permit like any other.
  const Result<std::string> cold = AnswerPermitRequest(
      issuer, {"127.0.0.1", 9},
      EncodePermitRequest({1, 5, {1, 0}, PermitPurpose::kIsolatedRequest}),
      now);
  CHECK_FALSE(DecodePermitReply(cold.value()).value().granted);
}

struct ClientFixture {
  EventLoop loop;
  Metrics metrics;
  PermitClient client{loop, metrics};
  std::vector<PermitRequest> requests;
  std::vector<Address> hosts;
  std::unique_ptr<DatagramSocket> agent;
  std::vector<PermitAnswer> answers;

  ClientFixture() {
    auto opened = DatagramSocket::Bind(
        this->loop, {"127.0.0.1", 0},
        [this](const Address& from, std::string_view bytes) {
          this->requests.push_back(DecodePermitRequest(bytes).value());
          this->hosts.push_back(from);
        });
    REQUIRE(opened);
    this->agent = std::move(opened.value());
    REQUIRE(this->client.Open({"127.0.0.1", 0}));
  }

  std::uint64_t Ask() {
    return this->client.Ask(this->agent->BoundAddress(), {0, 5, {14, 6}},
                            [this](const PermitAnswer& answer) {
                              this->answers.push_back(answer);
                            });
  }

  void RunFor(Duration time) {
    const Timer timer(this->loop, time, Duration(0),
                      [this] { this->loop.Stop(); });
    this->loop.Run();
  }
};

TEST_CASE("an agent's answers reach the requests that they are for") {
  ClientFixture fixture;
  const BootTime asked_at = EventLoop::BootNow();
  const std::uint64_t granted = fixture.Ask();
  const std::uint64_t denied = fixture.Ask();
  fixture.RunFor(Milliseconds(10));
  REQUIRE(fixture.requests.size() == 2);
  CHECK(fixture.requests[0] == PermitRequest{granted, 5, {14, 6}});
  fixture.agent->Send(fixture.hosts[1],
                      EncodePermitReply({denied, false, Milliseconds(30)}));
  // Sent twice, as a network may do.
  for (int i = 0; i < 2; ++i) {
    fixture.agent->Send(fixture.hosts[0],
                        EncodePermitReply({granted, true, Duration(0)}));
  }
  fixture.RunFor(Milliseconds(10));
  REQUIRE(fixture.answers.size() == 2);
  CHECK(fixture.answers[0].outcome == PermitOutcome::kDenied);
  CHECK(fixture.answers[0].wait == Milliseconds(30));
  CHECK(fixture.answers[1].outcome == PermitOutcome::kGranted);
  // The time to use a permit begins before the agent can have given it.
  CHECK(fixture.answers[1].use_until >= asked_at + kPermitUseTime);
  CHECK(fixture.answers[1].use_until <
        asked_at + kPermitUseTime + Milliseconds(10));
}

// Guards against a permit that is used after its request was given up, and
// against one from a process that is not the server's agent.
TEST_CASE("late answers and those of others are not used") {
  ClientFixture fixture;
  const std::uint64_t cancelled = fixture.Ask();
  fixture.Ask();
  fixture.client.Cancel(cancelled);
  fixture.RunFor(Milliseconds(10));
  fixture.agent->Send(fixture.hosts[0],
                      EncodePermitReply({cancelled, true, Duration(0)}));
  auto other = DatagramSocket::Bind(fixture.loop, {"127.0.0.1", 0},
                                    [](const Address&, std::string_view) {});
  REQUIRE(other);
  other.value()->Send(
      fixture.hosts[1],
      EncodePermitReply({fixture.requests[1].serial, true, Duration(0)}));
  fixture.agent->Send(fixture.hosts[1], "junk");
  fixture.RunFor(Milliseconds(10));
  CHECK(fixture.answers.empty());
  fixture.RunFor(kPermitAnswerTimeout);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].outcome == PermitOutcome::kNoAnswer);
  fixture.agent->Send(
      fixture.hosts[1],
      EncodePermitReply({fixture.requests[1].serial, true, Duration(0)}));
  fixture.RunFor(Milliseconds(10));
  CHECK(fixture.answers.size() == 1);
}

}  // namespace
}  // namespace toucanhollow
