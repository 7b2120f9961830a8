#include "map_task/rank_calls.h"

#include <utility>

namespace toucanhollow {

struct RankCalls::Batch {
  std::vector<RankCall> calls;
  Duration timeout{0};
  bool direct = false;
  std::function<void(std::vector<RankAnswer>)> done;
  std::vector<RankAnswer> answers;
  std::size_t open = 0;
};

RankCalls::RankCalls(EventLoop& loop, HttpClient& client)
    : loop(loop), client(client) {}

RankCalls::~RankCalls() = default;

void RankCalls::Start(const std::vector<RankCall>& calls,
                      Duration timeout,
                      bool direct,
                      std::function<void(std::vector<RankAnswer>)> done) {
  auto batch = std::make_shared<Batch>();
  batch->calls = calls;
  batch->timeout = timeout;
  batch->direct = direct;
  batch->done = std::move(done);
  batch->open = calls.size();
  for (const RankCall& call : calls) {
    batch->answers.push_back({call.rank.server, 0, ""});
  }
  if (calls.empty()) {
    Post(this->loop, [batch, token = std::weak_ptr<int>(this->alive)] {
      if (!token.expired()) {
        batch->done({});
      }
    });
    return;
  }
  for (std::size_t i = 0; i < calls.size(); ++i) {
    this->Call(batch, i, true);
  }
}

void RankCalls::Call(const std::shared_ptr<Batch>& batch,
                     std::size_t index,
                     bool through_agent) {
  const RankCall& call = batch->calls[index];
  const Address& address = through_agent ? call.rank.agent : call.rank.engine;
  HttpCall request;
  request.method = call.method;
  request.url =
      "http://" + address.ip + ":" + std::to_string(address.port) + call.path;
  if (!call.body.empty()) {
    request.headers.push_back({"Content-Type", "application/json"});
  }
  request.body = call.body;
  request.connect_timeout = batch->timeout;
  request.total_timeout = batch->timeout;
  request.repeatable = true;
  this->client.Start(
      std::move(request),
      {nullptr, nullptr,
       [this, batch, index, through_agent,
        token = std::weak_ptr<int>(this->alive)](const HttpOutcome& outcome) {
         if (token.expired()) {
           return;
         }
         const bool answered = outcome.end == HttpEnd::kComplete;
         // An agent that is not there refuses the connection at once.
         if (through_agent && batch->direct &&
             outcome.end == HttpEnd::kNotConnected) {
           this->Call(batch, index, false);
           return;
         }
         if (answered) {
           batch->answers[index].status = outcome.status;
           batch->answers[index].body = outcome.body;
         }
         if (--batch->open == 0) {
           batch->done(std::move(batch->answers));
         }
       }});
}

}  // namespace toucanhollow
