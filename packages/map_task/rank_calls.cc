#include "map_task/rank_calls.h"

#include <utility>

#include "json_log/json_log.h"
#include "map_task/rank_message_codec.h"

namespace toucanhollow {
namespace {

// An agent answers within some milliseconds; a map for a hundred ranks takes
// tens of milliseconds to leave a link of 40 Mbit/s.
constexpr Duration kResendPeriod = Milliseconds(70);
// Includes the first datagram.
constexpr int kMaxSendsPerRequest = 3;
// How long an agent that did not answer is not called; processes restart within
// about a second.
constexpr Duration kAgentBackoff = Seconds(1);
// An engine answers within some milliseconds or not at all.
constexpr Duration kEngineTimeout = Milliseconds(80);

}  // namespace

struct RankCalls::Batch {
  std::vector<RankCall> calls;
  bool fall_back_to_engine = false;
  Done done;
  std::vector<RankAnswer> answers;
  std::size_t open_calls = 0;
  int send_count = 1;
  std::unique_ptr<Timer> timer;
};

RankCalls::RankCalls(EventLoop& loop,
                     HttpClient& client,
                     const EngineMapCodec& codec)
    : loop(loop),
      engine(client, codec),
      // A process that restarts on the same address must not repeat the serial
      // numbers of its predecessor.
      next_serial(static_cast<std::uint64_t>(
          EventLoop::WallNow().time_since_epoch().count())) {}

RankCalls::~RankCalls() = default;

Result<bool> RankCalls::Open(const Address& local) {
  auto opened = DatagramSocket::Bind(
      this->loop, local, [this](const Address& from, std::string_view bytes) {
        this->OnDatagram(from, bytes);
      });
  BOOST_OUTCOME_TRY(bound, std::move(opened));
  this->socket = std::move(bound);
  return true;
}

void RankCalls::Start(const std::vector<RankCall>& calls,
                      bool fall_back_to_engine,
                      Done done) {
  auto batch = std::make_shared<Batch>();
  batch->calls = calls;
  batch->fall_back_to_engine = fall_back_to_engine;
  batch->done = std::move(done);
  batch->open_calls = calls.size();
  for (const RankCall& call : calls) {
    batch->answers.push_back({call.rank.server, {}});
  }
  if (calls.empty()) {
    Post(this->loop, [batch, token = std::weak_ptr<int>(this->alive)] {
      if (!token.expired()) {
        batch->done({});
      }
    });
    return;
  }
  const TimePoint now = EventLoop::Now();
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const Address& agent = calls[i].rank.agent;
    const auto unavailable = this->unavailable_agents.find(agent);
    if (fall_back_to_engine && unavailable != this->unavailable_agents.end() &&
        now < unavailable->second) {
      this->CallEngine(batch, i);
      continue;
    }
    const std::uint64_t serial = this->next_serial++;
    Pending request{batch, i, agent,
                    EncodeRankRequest({serial, calls[i].request})};
    this->socket->Send(agent, request.bytes);
    this->pending.emplace(serial, std::move(request));
  }
  batch->timer =
      std::make_unique<Timer>(this->loop, kResendPeriod, kResendPeriod,
                              [this, weak = std::weak_ptr<Batch>(batch)] {
                                if (const auto locked = weak.lock()) {
                                  this->OnTimer(locked);
                                }
                              });
}

void RankCalls::OnDatagram(const Address& from, std::string_view bytes) {
  Result<NumberedRankReply> message = DecodeRankReply(bytes);
  if (!message) {
    LogJsonNow("rank_reply_malformed",
               {{"agent", std::string_view(from.ip)},
                {"detail", std::string_view(message.error().detail)}});
    return;
  }
  this->unavailable_agents.erase(from);
  const auto request = this->pending.find(message.value().serial);
  if (request == this->pending.end() || request->second.agent != from) {
    // The request was answered or abandoned before.
    return;
  }
  const Pending answered = std::move(request->second);
  this->pending.erase(request);
  answered.batch->answers[answered.index].agent_answered = true;
  this->Finish(answered.batch, answered.index,
               std::move(message.value().reply));
}

void RankCalls::OnTimer(const std::shared_ptr<Batch>& batch) {
  if (batch->send_count >= kMaxSendsPerRequest) {
    batch->timer.reset();
    this->HandleUnanswered(batch);
    return;
  }
  ++batch->send_count;
  for (const auto& [serial, request] : this->pending) {
    if (request.batch == batch) {
      this->socket->Send(request.agent, request.bytes);
    }
  }
}

void RankCalls::HandleUnanswered(const std::shared_ptr<Batch>& batch) {
  std::vector<Pending> unanswered;
  std::erase_if(this->pending, [&](auto& entry) {
    if (entry.second.batch != batch) {
      return false;
    }
    unanswered.push_back(std::move(entry.second));
    return true;
  });
  const TimePoint now = EventLoop::Now();
  for (const Pending& request : unanswered) {
    this->unavailable_agents[request.agent] = now + kAgentBackoff;
    if (batch->fall_back_to_engine) {
      this->CallEngine(batch, request.index);
    } else {
      this->Finish(batch, request.index,
                   {.status = 0, .detail = "the agent did not answer"});
    }
  }
}

void RankCalls::CallEngine(const std::shared_ptr<Batch>& batch,
                           std::size_t index) {
  const RankCall& call = batch->calls[index];
  this->engine.Execute(call.rank.engine, call.request, kEngineTimeout,
                       [this, batch, index](RankReply reply) {
                         this->Finish(batch, index, std::move(reply));
                       });
}

void RankCalls::Finish(const std::shared_ptr<Batch>& batch,
                       std::size_t index,
                       RankReply reply) {
  RankAnswer& answer = batch->answers[index];
  answer.reply = std::move(reply);
  if (answer.reply.report) {
    answer.reply.report->server = answer.server;
  }
  if (--batch->open_calls == 0) {
    batch->timer.reset();
    batch->done(std::move(batch->answers));
  }
}

}  // namespace toucanhollow
