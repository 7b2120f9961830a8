#include "soak/soak_server.h"

#include <algorithm>
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
  for (auto& [number, session] : this->sessions) {
    this->NoteBroke(session);
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    this->Close(number, true);
  }
}

void SoakServer::SetLinkDisturbed(bool disturbed) {
  this->link_disturbed = disturbed;
  for (auto& [number, session] : this->sessions) {
    this->NoteBroke(session);
  }
}

void SoakServer::NoteFinished(Session& session) {
  const auto request = this->ledger.requests.find(session.request);
  if (request != this->ledger.requests.end()) {
    request->second.finished_at = EventLoop::Now();
  }
  session.request.clear();
}

void SoakServer::NoteBroke(Session& session) {
  const auto request = this->ledger.requests.find(session.request);
  if (request != this->ledger.requests.end()) {
    request->second.server_broke = true;
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
  session.request = id;
  if (this->link_disturbed) {
    this->NoteBroke(session);
  }
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
    NoteBroken(this->ledger, "server " + this->own_id + ": got " +
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
  Session& session = this->sessions.at(number);
  const bool stream = head.target.starts_with("/m/");
  const auto after =
      ParseDecimal(FindHeader(head.headers, "Last-Event-Id")).value_or(0);
  const Duration work =
      std::max(kWork, Milliseconds(QueryNumber(head.target, "work")));
  session.work = std::make_unique<Timer>(
      this->loop, work, Duration(0),
      [this, number, stream, target = head.target, next = NextEvent(after)] {
        if (!stream) {
          this->SendAnswer(number, target);
          return;
        }
        Session& running = this->sessions.at(number);
        running.connection->Write(Head(running.request, this->own_id) +
                                  "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
        const Duration pause = Milliseconds(QueryNumber(target, "pause"));
        this->SendEvent(number, std::max(kEventPause, pause), next);
      });
}

void SoakServer::SendAnswer(std::uint64_t number, const std::string& target) {
  Session& session = this->sessions.at(number);
  const std::string body = AnswerBody(session.request, target);
  const bool unframed = QueryNumber(target, "unframed") != 0;
  std::string bytes = Head(session.request, this->own_id) +
                      (unframed ? "Connection: close\r\n"
                                : "Keep-Alive: timeout=5\r\nContent-Length: " +
                                      std::to_string(body.size()) + "\r\n") +
                      "\r\n" + body;
  if (!this->BreaksNow()) {
    this->NoteFinished(session);
    session.connection->Write(bytes);
    if (unframed) {
      this->EndAfterWrite(number);
    }
    return;
  }
  this->NoteBroke(session);
  // Other ways would make whole answers of those without a length.
  switch (unframed ? 0 : this->broken++ % 3) {
    case 0:
      bytes.resize(bytes.size() / 2);
      session.connection->Write(bytes);
      // An answer without a length that ends in order would be whole.
      this->Close(number, unframed);
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

// The close marks the end of an answer that has neither length nor chunks.
void SoakServer::EndAfterWrite(std::uint64_t number) {
  Session& session = this->sessions.at(number);
  session.work = std::make_unique<Timer>(
      this->loop, kCopyDelay, kCopyDelay, [this, number] {
        if (this->sessions.at(number).connection->unsent() == 0) {
          this->Close(number, false);
        }
      });
}

void SoakServer::SendEvent(std::uint64_t number, Duration pause, int event) {
  Session& session = this->sessions.at(number);
  if (event > kStreamEvents) {
    this->NoteFinished(session);
    session.connection->Write("0\r\n\r\n");
    return;
  }
  const std::string text = Chunk(EventText(session.request, event));
  if (event > 1 && this->BreaksNow()) {
    // In the middle of an event.
    this->NoteBroke(session);
    session.connection->Write(text.substr(0, text.size() / 2));
    this->Close(number, true);
    return;
  }
  session.connection->Write(text);
  session.work = std::make_unique<Timer>(
      this->loop, pause, Duration(0), [this, number, pause, event] {
        this->SendEvent(number, pause, event + 1);
      });
}

}  // namespace toucanhollow
