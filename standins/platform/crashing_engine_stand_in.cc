#include "standins/platform/crashing_engine_stand_in.h"

#include <utility>

#include "base/check.h"
#include "http_message/http_message.h"

namespace toucanhollow {
namespace {

std::string Chunk(const std::string& text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string size;
  size += kHex[text.size() / 16];
  size += kHex[text.size() % 16];
  return size + "\r\n" + text + "\r\n";
}

bool HasPart(const RequestHead& head, const std::string& part) {
  return !part.empty() &&
         FindHeader(head.headers, "X-Toucanhollow-Prompt-Prefix").find(part) !=
             std::string_view::npos;
}

}  // namespace

CrashingEngineStandIn::CrashingEngineStandIn(EventLoop& loop,
                                             PlatformStoreStandIn& store,
                                             std::string service,
                                             const std::string& ip)
    : loop(loop),
      store(store),
      service(std::move(service)),
      own_address{ip, 0} {
  this->Start();
}

void CrashingEngineStandIn::Start() {
  auto listening =
      TcpListener::Listen(this->loop, this->own_address,
                          [this](int socket) { this->Accept(socket); });
  InternalCheck(listening.has_value(), "the engine stand-in listens");
  this->listener = std::move(listening.value());
  this->own_address.port = this->listener->Port();
  ++this->start_time_ms;
  const std::string old =
      std::exchange(this->id, "i-" + this->own_address.ip + "-" +
                                  std::to_string(this->start_time_ms % 1000));
  if (!old.empty()) {
    this->store.Put("keyed.servers", old, std::nullopt);
  }
  this->Register("ready");
}

void CrashingEngineStandIn::Register(std::string_view state) {
  this->store.Put("keyed.servers", this->id,
                  R"({"service":")" + this->service + R"(","address":")" +
                      this->own_address.ip + ":" +
                      std::to_string(this->own_address.port) +
                      R"(","zone":"west","slots":)" + std::to_string(kSlots) +
                      R"(,"state":")" + std::string(state) + R"(","born":)" +
                      std::to_string(this->start_time_ms) + "}");
}

void CrashingEngineStandIn::Drain() {
  this->Register("draining");
}

void CrashingEngineStandIn::Crash() {
  if (this->listener == nullptr) {
    return;
  }
  this->listener.reset();
  if (this->delayed_crash != nullptr) {
    // It may be the timer that calls.
    Post(this->loop, [timer = std::shared_ptr<Timer>(
                          std::exchange(this->delayed_crash, nullptr))] {});
  }
  for (auto& [number, session] : this->sessions) {
    session.connection->ResetOnClose();
    session.connection->SetCallbacks({});
    session.work.reset();
    if (!session.request.empty()) {
      this->broken_off.insert(session.request);
    }
  }
  // A connection may be calling.
  auto ended = std::make_shared<std::map<std::uint64_t, Session>>(
      std::exchange(this->sessions, {}));
  Post(this->loop, [ended] {});
  this->restart = std::make_unique<Timer>(this->loop, kRestartTime, Duration(0),
                                          [this] { this->Start(); });
}

void CrashingEngineStandIn::Accept(int socket) {
  const std::uint64_t number = this->next_session++;
  Session& session = this->sessions[number];
  session.connection = std::make_unique<TcpConnection>(this->loop, socket);
  session.parser = std::make_unique<RequestParser>(ParserLimits{});
  session.connection->SetCallbacks(
      {nullptr,
       [this, number](std::string_view bytes) { this->OnData(number, bytes); },
       nullptr,
       [this, number](ConnectionEnd) {
         Post(this->loop, [this, number] { this->sessions.erase(number); });
       }});
}

void CrashingEngineStandIn::OnData(std::uint64_t number,
                                   std::string_view bytes) {
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
  if (FindHeader(head.headers, "X-Toucanhollow-Expect-Instance") != this->id) {
    session.connection->Write(
        "HTTP/1.1 421 Misdirected\r\nX-Toucanhollow-Request-Id: " +
        std::string(FindHeader(head.headers, "X-Toucanhollow-Request-Id")) +
        "\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  if (HasPart(head, this->deadly_part)) {
    this->deadly_arrivals.push_back(
        {EventLoop::Now(),
         std::string(FindHeader(head.headers, "X-Toucanhollow-Request-Id"))});
  }
  session.request = FindHeader(head.headers, "X-Toucanhollow-Request-Id");
  this->arrived.insert(session.request);
  if (this->on_body) {
    this->on_body(session.request, body);
  }
  session.work = std::make_unique<Timer>(
      this->loop, kPrefillTime, Duration(0),
      [this, number, head] { this->Begin(number, head); });
}

void CrashingEngineStandIn::Begin(std::uint64_t number,
                                  const RequestHead& head) {
  const auto found = this->sessions.find(number);
  if (found == this->sessions.end()) {
    return;
  }
  found->second.connection->Write(
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: " +
      std::string(FindHeader(head.headers, "X-Toucanhollow-Request-Id")) +
      "\r\nX-Toucanhollow-Response-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  if (HasPart(head, this->deadly_part)) {
    if (!this->crash_delay) {
      this->CrashByPart();
      return;
    }
    if (this->delayed_crash == nullptr) {
      this->delayed_crash =
          std::make_unique<Timer>(this->loop, *this->crash_delay, Duration(0),
                                  [this] { this->CrashByPart(); });
    }
  }
  found->second.events =
      HasPart(head, this->deadly_part) ? this->deadly_events : kEvents;
  this->SendEvent(
      number,
      ParseDecimal(FindHeader(head.headers, "Last-Event-Id")).value_or(0) + 1);
}

void CrashingEngineStandIn::CrashByPart() {
  this->deadly_crashes.push_back(EventLoop::Now());
  this->Crash();
}

void CrashingEngineStandIn::SendEvent(std::uint64_t number,
                                      std::int64_t event) {
  const auto found = this->sessions.find(number);
  if (found == this->sessions.end()) {
    return;
  }
  Session& session = found->second;
  if (event > session.events) {
    session.connection->Write("0\r\n\r\n");
    session.request.clear();
    return;
  }
  session.connection->Write(
      Chunk("id: " + std::to_string(event) + "\ndata: x\n\n"));
  session.work = std::make_unique<Timer>(
      this->loop, kEventPause, Duration(0),
      [this, number, event] { this->SendEvent(number, event + 1); });
}

}  // namespace toucanhollow
