#include "map_task/rank_engine_client.h"

#include <cstddef>
#include <utility>

#include "map_task/choice_delta.h"

namespace toucanhollow {
namespace {

// Engines report some thousand numbers. A parsed answer may take 40 times its
// length in memory.
constexpr std::size_t kMaxAnswerBytes = std::size_t{1} << 20;

std::string MakeUrl(const Address& engine, const std::string& path) {
  return "http://" + engine.ip + ":" + std::to_string(engine.port) + path;
}

// Returns a reply with the status of the response, and with the error if there
// is one.
RankReply MakeReply(const HttpOutcome& outcome) {
  RankReply reply;
  if (outcome.end != HttpEnd::kComplete) {
    reply.detail = outcome.error;
    return reply;
  }
  reply.status = outcome.status;
  if (outcome.status >= 400) {
    reply.detail = outcome.body;
  }
  return reply;
}

}  // namespace

RankEngineClient::RankEngineClient(HttpClient& client,
                                   const EngineMapCodec& codec)
    : client(client), codec(codec) {}

void RankEngineClient::Start(HttpCall call, ResponseHandler on_response) {
  call.max_response_bytes = kMaxAnswerBytes;
  this->client.Start(
      std::move(call),
      {nullptr, nullptr,
       [on_response = std::move(on_response),
        token = std::weak_ptr<int>(this->alive)](const HttpOutcome& outcome) {
         if (!token.expired()) {
           on_response(outcome);
         }
       }});
}

void RankEngineClient::Get(const Address& engine,
                           const std::string& path,
                           Duration timeout,
                           ResponseHandler on_response) {
  HttpCall call;
  call.url = MakeUrl(engine, path);
  call.connect_timeout = timeout;
  call.total_timeout = timeout;
  call.repeatable = true;
  this->Start(std::move(call), std::move(on_response));
}

void RankEngineClient::ReadReport(const Address& engine,
                                  Duration timeout,
                                  RankReply reply,
                                  std::function<void(RankReply)> done) {
  this->Get(engine, this->codec.report_path, timeout,
            [this, reply = std::move(reply), done = std::move(done),
             asked_at = EventLoop::Now()](const HttpOutcome& outcome) mutable {
              if (outcome.end == HttpEnd::kComplete && outcome.status == 200) {
                const Result<RankReport> report =
                    this->codec.decode_report("", outcome.body);
                if (report) {
                  reply.report = report.value();
                  if (this->on_limit) {
                    this->on_limit({report.value().start_time_ms,
                                    this->codec.read_limit(outcome.headers),
                                    asked_at, EventLoop::Now()});
                  }
                } else {
                  reply.detail = report.error().detail;
                }
              } else if (reply.detail.empty()) {
                reply.detail =
                    "the engine returned no report: " + outcome.error;
              }
              reply.engine_down = outcome.end == HttpEnd::kNotConnected;
              done(std::move(reply));
            });
}

void RankEngineClient::DecodeChoices(const Address& engine,
                                     const HttpOutcome& outcome,
                                     int sets,
                                     RankReply& reply) {
  Result<RankCounts> counts = this->codec.decode_counts(outcome.body, sets);
  if (!counts) {
    reply.detail = counts.error().detail;
    return;
  }
  RankCounts& last = this->last_counts[engine];
  reply.choices = ComputeChoiceDelta(last.chosen, counts.value().chosen);
  last = std::move(counts.value());
}

void RankEngineClient::Execute(const Address& engine,
                               const RankRequest& request,
                               Duration timeout,
                               std::function<void(RankReply)> done) {
  switch (request.kind) {
    case RankRequestKind::kReport:
      this->ReadReport(engine, timeout, {.status = 200}, std::move(done));
      return;
    case RankRequestKind::kChoices:
      this->Get(engine, this->codec.counts_path, timeout,
                [this, engine, sets = request.sets,
                 done = std::move(done)](const HttpOutcome& outcome) {
                  RankReply reply = MakeReply(outcome);
                  if (reply.status == 200) {
                    this->DecodeChoices(engine, outcome, sets, reply);
                  }
                  done(std::move(reply));
                });
      return;
    case RankRequestKind::kExperts:
      this->Get(engine, this->codec.experts_path, timeout,
                [this, done = std::move(done)](const HttpOutcome& outcome) {
                  RankReply reply = MakeReply(outcome);
                  if (reply.status == 200) {
                    const Result<RankExperts> experts =
                        this->codec.decode_experts(outcome.body);
                    if (experts) {
                      reply.experts = experts.value();
                    } else {
                      reply.detail = experts.error().detail;
                    }
                  }
                  done(std::move(reply));
                });
      return;
    case RankRequestKind::kOrder: {
      HttpCall call;
      call.method = "POST";
      call.url = MakeUrl(engine, this->codec.order_path);
      call.headers.push_back({"Content-Type", "application/json"});
      call.body = this->codec.encode_order(
          request.order, request.map == nullptr ? GroupMap{} : *request.map,
          request.fence);
      call.connect_timeout = timeout;
      call.total_timeout = timeout;
      // An order names the sequence that it expects, so a duplicate is refused.
      call.repeatable = true;
      this->Start(std::move(call), [this, engine, timeout,
                                    done = std::move(done)](
                                       const HttpOutcome& outcome) mutable {
        this->ReadReport(engine, timeout, MakeReply(outcome), std::move(done));
      });
      return;
    }
  }
}

}  // namespace toucanhollow
