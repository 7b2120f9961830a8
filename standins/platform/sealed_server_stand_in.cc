#include "standins/platform/sealed_server_stand_in.h"

#include <utility>

#include "base/check.h"
#include "http_message/http_message.h"

namespace toucanhollow {
namespace {

std::string FillIn(std::string text, const std::string& id) {
  constexpr std::string_view kPlace = "{id}";
  for (std::size_t at = text.find(kPlace); at != std::string::npos;
       at = text.find(kPlace, at + id.size())) {
    text.replace(at, kPlace.size(), id);
  }
  return text;
}

// Adds a field for each limit to the head of an answer.
std::string NameLimits(std::string answer,
                       const std::vector<std::string>& limits) {
  constexpr std::string_view kLineEnd = "\r\n";
  const std::size_t status_end = answer.find(kLineEnd);
  if (status_end == std::string::npos) {
    return answer;
  }
  std::string fields;
  for (const std::string& limit : limits) {
    fields.append("Server-Limit: ").append(limit).append(kLineEnd);
  }
  return answer.insert(status_end + kLineEnd.size(), fields);
}

}  // namespace

ScriptedAnswer SealedAnswer(const std::string& body) {
  ScriptedAnswer answer;
  answer.bytes =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Response-Seal: seal\r\nKeep-Alive: timeout=5\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  return answer;
}

SealedServerStandIn::SealedServerStandIn(EventLoop& loop, std::string ip)
    : loop(loop), listens_at(std::move(ip)) {
  auto listening =
      TcpListener::Listen(loop, {this->listens_at, 0},
                          [this](int socket) { this->Accept(socket); });
  InternalCheck(listening.has_value(), "the server stand-in listens");
  this->listener = std::move(listening.value());
}

std::uint16_t SealedServerStandIn::Port() const {
  return this->listener->Port();
}

void SealedServerStandIn::CloseSessions() {
  this->sessions.clear();
}

void SealedServerStandIn::Accept(int socket) {
  const std::uint64_t number = this->next_session++;
  Session& session = this->sessions[number];
  session.connection = std::make_unique<TcpConnection>(this->loop, socket);
  session.parser = std::make_unique<RequestParser>(ParserLimits{});
  session.connection->SetCallbacks(
      {nullptr,
       [this, number](std::string_view bytes) { this->OnData(number, bytes); },
       nullptr,
       [this, number](ConnectionEnd) {
         ++this->closed_by_caller;
         this->Close(number);
       }});
}

void SealedServerStandIn::Close(std::uint64_t number) {
  Post(this->loop, [this, number] { this->sessions.erase(number); });
}

void SealedServerStandIn::OnData(std::uint64_t number, std::string_view bytes) {
  Session& session = this->sessions.at(number);
  session.parser->Feed(bytes);
  if (!session.parser->done()) {
    return;
  }
  const RequestHead head = session.parser->head();
  if (head.target == "/v1/report") {
    session.parser = std::make_unique<RequestParser>(ParserLimits{});
    if (this->report) {
      const std::string text = this->report();
      session.timer = std::make_unique<Timer>(
          this->loop, this->report_delay, Duration(0),
          [this, number,
           answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(text.size()) + "\r\n\r\n" + text] {
            const auto found = this->sessions.find(number);
            if (found != this->sessions.end()) {
              found->second.connection->Write(answer);
            }
          });
    }
    return;
  }
  this->arrivals.push_back(EventLoop::Now());
  this->log.push_back(
      {this->arrivals.back(),
       std::string(FindHeader(head.headers, "X-Toucanhollow-Request-Id")),
       !this->limits.empty()});
  this->bodies.push_back(session.parser->TakeBody());
  session.parser = std::make_unique<RequestParser>(ParserLimits{});
  this->Answer(number, head);
}

void SealedServerStandIn::Answer(std::uint64_t number,
                                 const RequestHead& head) {
  const std::string id(FindHeader(head.headers, "X-Toucanhollow-Request-Id"));
  ScriptedAnswer answer = SealedAnswer("ok");
  if (!this->script.empty()) {
    answer = std::move(this->script.front());
    this->script.pop_front();
  }
  if (answer.runs) {
    this->heads.push_back(head);
    ++this->runs[id];
  }
  Session& session = this->sessions.at(number);
  session.connection->Write(NameLimits(FillIn(answer.bytes, id), this->limits));
  if (!answer.endless.empty()) {
    session.timer = std::make_unique<Timer>(
        this->loop, Milliseconds(1), Milliseconds(1),
        [this, number, text = FillIn(answer.endless, id)] {
          const auto found = this->sessions.find(number);
          // A caller that reads slowly is not sent more than it takes.
          if (found != this->sessions.end() &&
              found->second.connection->unsent() == 0) {
            found->second.connection->Write(text);
          }
        });
  } else if (answer.piece) {
    session.pieces = 0;
    session.timer = std::make_unique<Timer>(
        this->loop, answer.delay, answer.delay,
        [this, number, piece = answer.piece] {
          const auto found = this->sessions.find(number);
          if (found != this->sessions.end()) {
            Session& found_session = found->second;
            found_session.connection->Write(piece(found_session.pieces++));
          }
        });
  } else if (!answer.later.empty()) {
    session.timer = std::make_unique<Timer>(
        this->loop, answer.delay, Duration(0),
        [this, number, text = FillIn(answer.later, id), close = answer.close] {
          const auto found = this->sessions.find(number);
          if (found == this->sessions.end()) {
            return;
          }
          found->second.connection->Write(text);
          if (close) {
            this->Close(number);
          }
        });
  } else if (answer.reset) {
    // After the caller has read the bytes, which a reset would discard.
    session.timer = std::make_unique<Timer>(
        this->loop, Milliseconds(5), Duration(0), [this, number] {
          const auto found = this->sessions.find(number);
          if (found != this->sessions.end()) {
            found->second.connection->ResetOnClose();
            this->Close(number);
          }
        });
  } else if (answer.close) {
    this->Close(number);
  }
}

}  // namespace toucanhollow
