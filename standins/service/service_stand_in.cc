#include "standins/service/service_stand_in.h"

#include <utility>

namespace toucanhollow {
namespace {

std::int64_t NumberOf(const HttpRequest& request, std::string_view name) {
  const auto text = QueryValue(request.query, name);
  return text ? ParseDecimal(*text).value_or(0) : 0;
}

}  // namespace

void ServiceStandIn::HandleControl(const HttpRequest& request,
                                   HttpResponseWriter& writer) {
  std::string answer;
  if (request.path == "/control/lose_answers") {
    this->answers_to_lose = NumberOf(request, "count");
  } else if (request.path == "/control/refuse") {
    this->calls_to_refuse = NumberOf(request, "count");
  } else if (request.path == "/control/delay") {
    this->delay = Milliseconds(NumberOf(request, "ms"));
  } else if (request.path == "/control/runs") {
    for (const Run& run : this->runs) {
      answer.append(run.method).append(" ");
      answer.append(run.key.empty() ? "-" : run.key).append(" ");
      answer.append(run.body).append("\n");
    }
  } else if (request.path == "/control/stats") {
    answer = "runs " + std::to_string(this->runs.size()) + "\nreads " +
             std::to_string(this->reads) + "\n";
  } else {
    writer.Respond(404, {}, "unknown control path\n");
    return;
  }
  writer.Respond(200, {}, answer);
}

void ServiceStandIn::HandleCall(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  if (this->calls_to_refuse > 0) {
    --this->calls_to_refuse;
    writer->Respond(503, {{"X-Not-Run", "1"}}, "busy\n");
    return;
  }
  std::string answer;
  if (request.method == "GET" || request.method == "HEAD") {
    ++this->reads;
    answer = "read " + request.path + "\n";
  } else {
    this->runs.push_back(
        {request.method,
         std::string(FindHeader(request.headers, "Idempotency-Key")),
         request.body});
    answer =
        "run " + std::to_string(this->runs.size()) + " " + request.body + "\n";
  }
  const bool lose = this->answers_to_lose > 0;
  if (lose) {
    --this->answers_to_lose;
  }
  const auto respond = [writer, answer, lose] {
    if (lose) {
      writer->Abort();
    } else {
      writer->Respond(200, {{"Content-Type", "text/plain"}}, answer);
    }
  };
  if (this->delay == Duration(0)) {
    respond();
    return;
  }
  const std::uint64_t id = this->next_delayed_id++;
  this->delayed[id] = std::make_unique<Timer>(this->loop, this->delay,
                                              Duration(0), [this, id, respond] {
                                                respond();
                                                this->delayed.erase(id);
                                              });
}

void ServiceStandIn::Handle(const HttpRequest& request,
                            const std::shared_ptr<HttpResponseWriter>& writer) {
  if (request.path.starts_with("/control/")) {
    this->HandleControl(request, *writer);
  } else if (request.path == "/health") {
    writer->Respond(200, {}, "ok\n");
  } else {
    this->HandleCall(request, writer);
  }
}

}  // namespace toucanhollow
