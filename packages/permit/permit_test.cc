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
    return this->client.Ask(this->agent->BoundAddress(), 5, {14, 6},
                            PermitPurpose::kRequest,
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
