#include "soak/soak_server.h"

#include <utility>
#include <vector>

#include "base/check.h"
#include "http_message/http_message.h"

namespace toucanhollow {
namespace {

constexpr Duration kWork = Milliseconds(15);
constexpr Duration kEventPause = Milliseconds(12);
constexpr Duration kCopyDelay = Milliseconds(3);
constexpr std::size_t kEndlessBytes = 16384;

std::string Head(const std::string& id, const std::string& seal) {
  return "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: " + id +
         "\r\nX-Toucanhollow-Response-Seal: " + seal + "\r\n";
}

std::string Chunk(const std::string& text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string size;
  size += kHex[text.size() / 16];
  size += kHex[text.size() % 16];
  return size + "\r\n" + text + "\r\n";
}

}  // namespace

SoakServer::SoakServer(EventLoop& loop, Ledger& ledger, std::string id)
    : loop(loop), ledger(ledger), own_id(std::move(id)) {
  auto listening = TcpListener::Listen(
      loop, {"127.0.0.1", 0}, [this](int socket) { this->Accept(socket); });
  InternalCheck(listening.has_value(), "the server listens");
  this->listener = std::move(listening.value());
}

void SoakServer::Restart(std::string id) {
  this->own_id = std::move(id);
  this->arrived.clear();
  this->left_at.reset();
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, session] : this->sessions) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    this->Close(number, true);
  }
}

void SoakServer::Accept(int socket) {
  const std::uint64_t number = this->next_session++;
  Session& session = this->sessions[number];
  session.connection = std::make_unique<TcpConnection>(this->loop, socket);
  session.parser = std::make_unique<RequestParser>(ParserLimits{});
  session.connection->SetCallbacks(
      {nullptr,
       [this, number](std::string_view bytes) { this->OnData(number, bytes); },
       nullptr, [this, number](ConnectionEnd) { this->Close(number, false); }});
}

void SoakServer::Close(std::uint64_t number, bool reset) {
  const auto found = this->sessions.find(number);
  if (found == this->sessions.end()) {
    return;
  }
  if (reset) {
    found->second.connection->ResetOnClose();
  }
  found->second.connection->SetCallbacks({});
  found->second.work.reset();
  auto session = std::make_shared<Session>(std::move(found->second));
  this->sessions.erase(found);
  Post(this->loop, [session] {});
}

void SoakServer::OnData(std::uint64_t number, std::string_view bytes) {
  const auto found = this->sessions.find(number);
  if (found == this->sessions.end()) {
    return;
  }
  Session& session = found->second;
  session.parser->Feed(bytes);
  if (!session.parser->done()) {
    return;
  }
  const RequestHead head = session.parser->head();
  const std::string body = session.parser->TakeBody();
  session.parser = std::make_unique<RequestParser>(ParserLimits{});
  const std::string id(FindHeader(head.headers, "X-Toucanhollow-Request-Id"));
  if (FindHeader(head.headers, "X-Toucanhollow-Expect-Instance") !=
      this->own_id) {
    session.connection->Write(
        "HTTP/1.1 421 Misdirected\r\nX-Toucanhollow-Request-Id: " + id +
        "\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  this->CheckRate(EventLoop::Now());
  if (this->left_at) {
    NoteArrivalAfterLeaving(this->ledger, this->own_id, id, *this->left_at,
                            EventLoop::Now());
  }
  NoteRun(this->ledger, this->own_id, head, body);
  this->Run(number, head);
}

void SoakServer::CheckRate(TimePoint now) {
  while (!this->arrived.empty() && now - this->arrived.front() >= Seconds(1)) {
    this->arrived.pop_front();
  }
  if (now < this->rate_ignored_until) {
    return;
  }
  this->arrived.push_back(now);
  if (this->arrived.size() > kMaxInOneSecond) {
    this->ledger.broken.push_back("server " + this->own_id + ": got " +
                                  std::to_string(this->arrived.size()) +
                                  " requests in one second");
    this->arrived.clear();
  }
}

bool SoakServer::BreaksNow() {
  if (this->to_break == 0) {
    return false;
  }
  --this->to_break;
  return true;
}

void SoakServer::Run(std::uint64_t number, const RequestHead& head) {
  const std::string id(FindHeader(head.headers, "X-Toucanhollow-Request-Id"));
  Session& session = this->sessions.at(number);
  const bool stream = head.target.starts_with("/m/");
  const auto after =
      ParseDecimal(FindHeader(head.headers, "Last-Event-Id")).value_or(0);
  session.work = std::make_unique<Timer>(
      this->loop, kWork, Duration(0),
      [this, number, id, stream, next = static_cast<int>(after) + 1] {
        if (!stream) {
          this->SendAnswer(number, id);
          return;
        }
        this->sessions.at(number).connection->Write(
            Head(id, this->own_id) +
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
        this->SendEvent(number, id, next);
      });
}

void SoakServer::SendAnswer(std::uint64_t number, const std::string& id) {
  const std::string body = AnswerBody(id);
  std::string bytes = Head(id, this->own_id) +
                      "Keep-Alive: timeout=5\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
  Session& session = this->sessions.at(number);
  if (!this->BreaksNow()) {
    session.connection->Write(bytes);
    return;
  }
  switch (this->broken++ % 3) {
    case 0:
      bytes.resize(bytes.size() / 2);
      session.connection->Write(bytes);
      this->Close(number, false);
      return;
    case 1:
      // A header line without end, until the caller closes.
      session.connection->Write("HTTP/1.1 200 OK\r\nX-A: ");
      session.work = std::make_unique<Timer>(
          this->loop, kCopyDelay, kCopyDelay, [this, number] {
            TcpConnection& to = *this->sessions.at(number).connection;
            if (to.unsent() == 0) {
              to.Write(std::string(kEndlessBytes, 'a'));
            }
          });
      return;
    default:
      // A second copy, which may meet the next request on the connection.
      session.connection->Write(bytes);
      session.work = std::make_unique<Timer>(
          this->loop, kCopyDelay, Duration(0), [this, number, bytes] {
            this->sessions.at(number).connection->Write(bytes);
          });
      return;
  }
}

void SoakServer::SendEvent(std::uint64_t number,
                           const std::string& id,
                           int event) {
  Session& session = this->sessions.at(number);
  if (event > kStreamEvents) {
    session.connection->Write("0\r\n\r\n");
    return;
  }
  const std::string text = Chunk(EventText(id, event));
  if (event > 1 && this->BreaksNow()) {
    // In the middle of an event.
    session.connection->Write(text.substr(0, text.size() / 2));
    this->Close(number, true);
    return;
  }
  session.connection->Write(text);
  session.work = std::make_unique<Timer>(
      this->loop, kEventPause, Duration(0),
      [this, number, id, event] { this->SendEvent(number, id, event + 1); });
}

}  // namespace toucanhollow
