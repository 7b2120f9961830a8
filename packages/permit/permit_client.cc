#include "permit/permit_client.h"

#include <string>
#include <utility>

#include "json_log/json_log.h"
#include "permit/permit_codec.h"
#include "traffic/permit_availability.h"

namespace toucanhollow {
namespace {

std::string_view OutcomeName(PermitOutcome outcome) {
  switch (outcome) {
    case PermitOutcome::kGranted:
      return "granted";
    case PermitOutcome::kDenied:
      return "denied";
    case PermitOutcome::kNoAnswer:
      return "no_answer";
  }
  return "";
}

}  // namespace

PermitClient::PermitClient(EventLoop& loop, Metrics& metrics)
    : loop(loop),
      metrics(metrics),
      // A process that restarts on the same address must not repeat the serial
      // numbers of its predecessor.
      next_serial(static_cast<std::uint64_t>(
          EventLoop::WallNow().time_since_epoch().count())) {}

Result<bool> PermitClient::Open(const Address& local) {
  auto opened = DatagramSocket::Bind(
      this->loop, local, [this](const Address& from, std::string_view bytes) {
        this->OnDatagram(from, bytes);
      });
  BOOST_OUTCOME_TRY(bound, std::move(opened));
  this->socket = std::move(bound);
  return true;
}

std::uint64_t PermitClient::Ask(const Address& agent,
                                PermitRequest request,
                                Done done) {
  const std::uint64_t serial = this->next_serial++;
  request.serial = serial;
  Pending waiting;
  waiting.agent = agent;
  waiting.asked_at = EventLoop::Now();
  waiting.use_until = EventLoop::BootNow() + kPermitUseTime;
  waiting.done = std::move(done);
  waiting.timeout =
      std::make_unique<Timer>(this->loop, kPermitAnswerTimeout, Duration(0),
                              [this, serial] { this->Finish(serial, {}); });
  this->pending.emplace(serial, std::move(waiting));
  this->socket->Send(agent, EncodePermitRequest(request));
  return serial;
}

void PermitClient::EndIsolation(const Address& agent,
                                std::uint32_t server,
                                std::uint64_t serial) {
  this->socket->Send(
      agent,
      EncodePermitRequest({serial, server, {}, PermitPurpose::kEndIsolation}));
}

void PermitClient::Cancel(std::uint64_t serial) {
  this->pending.erase(serial);
}

void PermitClient::OnDatagram(const Address& from, std::string_view bytes) {
  const Result<PermitReply> reply = DecodePermitReply(bytes);
  if (!reply) {
    LogJsonNow("permit_reply_malformed",
               {{"agent", std::string_view(from.ip)},
                {"detail", std::string_view(reply.error().detail)}});
    return;
  }
  const auto request = this->pending.find(reply.value().serial);
  if (request == this->pending.end() || request->second.agent != from) {
    // The answer came after the timeout, or the request was cancelled.
    this->metrics.Count("permits_total", "outcome=\"late\"");
    return;
  }
  PermitAnswer answer;
  answer.outcome =
      reply.value().granted ? PermitOutcome::kGranted : PermitOutcome::kDenied;
  answer.use_until = request->second.use_until;
  answer.wait = reply.value().wait;
  this->Finish(reply.value().serial, answer);
}

void PermitClient::Finish(std::uint64_t serial, PermitAnswer answer) {
  const auto found = this->pending.find(serial);
  const Pending request = std::move(found->second);
  this->pending.erase(found);
  this->metrics.Count(
      "permits_total",
      "outcome=\"" + std::string(OutcomeName(answer.outcome)) + "\"");
  this->metrics.Observe("permit_ms",
                        ToMilliseconds(EventLoop::Now() - request.asked_at));
  request.done(answer);
}

}  // namespace toucanhollow
