#include "soak/caller_load.h"

#include <utility>

namespace toucanhollow {
namespace {

constexpr Duration kShortestPause = Milliseconds(5);
constexpr int kPauseSpreadMs = 40;
constexpr Duration kReconnectPause = Milliseconds(40);
// Half a second after the longest timeout of a route (3 s), with room for a
// machine that is busy with other work.
constexpr Duration kAnswerBound = Milliseconds(4500);
// One caller in so many leaves early.
constexpr int kLeavesOneIn = 40;
constexpr Duration kLeavesAfter = Milliseconds(30);

std::string_view MethodOf(RequestKind kind) {
  return kind == RequestKind::kSafe ? "GET" : "POST";
}

std::string_view TargetOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSafe:
      return "/s/read?x=%41";
    case RequestKind::kUnsafe:
      return "/u/write";
    case RequestKind::kStream:
      return "/m/draft";
  }
  return "";
}

std::string ToBytes(const std::string& id, const SentRequest& request) {
  std::string bytes(MethodOf(request.kind));
  bytes += " " + request.target +
           " HTTP/1.1\r\nHost: h\r\nX-Toucanhollow-Request-Id: " + id +
           "\r\nX-Toucanhollow-Deadline-Ms: 4000\r\n"
           "Authorization: Token k1\r\n";
  if (!request.body.empty()) {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return bytes + "\r\n" + request.body;
}

}  // namespace

struct CallerLoad::Caller {
  std::size_t host = 0;
  std::unique_ptr<TcpConnection> connection;
  ResponseParser parser{true};
  // The request under way; empty between requests.
  std::string id;
  std::string body;
  std::unique_ptr<Timer> pause;
  std::unique_ptr<Timer> patience;
};

CallerLoad::CallerLoad(EventLoop& loop,
                       Ledger& ledger,
                       std::vector<HostView> hosts,
                       unsigned int seed,
                       int callers)
    : loop(loop), ledger(ledger), hosts(std::move(hosts)), random(seed) {
  for (int i = 0; i < callers; ++i) {
    this->callers.push_back(std::make_unique<Caller>());
    this->Later(*this->callers.back(), Milliseconds(10 + i));
  }
}

CallerLoad::~CallerLoad() = default;

void CallerLoad::Later(Caller& caller, Duration pause) {
  caller.pause = std::make_unique<Timer>(
      this->loop, pause, Duration(0), [this, &caller] { this->Ask(caller); });
}

void CallerLoad::Connect(Caller& caller) {
  caller.host = this->random() % this->hosts.size();
  caller.connection = std::make_unique<TcpConnection>(
      this->loop, this->hosts[caller.host].address);
  caller.connection->SetCallbacks(
      {nullptr,
       [this, &caller](std::string_view bytes) { this->OnData(caller, bytes); },
       nullptr, [this, &caller](ConnectionEnd) { this->OnEnd(caller); }});
}

void CallerLoad::Ask(Caller& caller) {
  if (this->finishing) {
    return;
  }
  if (caller.connection == nullptr) {
    this->Connect(caller);
  }
  constexpr unsigned int kKinds = 3;
  SentRequest request;
  request.kind = static_cast<RequestKind>(this->random() % kKinds);
  request.target = TargetOf(request.kind);
  caller.id = "r" + std::to_string(this->next_id++);
  if (request.kind != RequestKind::kSafe) {
    request.body = "body of " + caller.id;
  }
  request.sent_at = EventLoop::Now();
  request.host = caller.host;
  caller.parser = ResponseParser(true);
  caller.body.clear();
  const std::string bytes = ToBytes(caller.id, request);
  this->ledger.requests.emplace(caller.id, std::move(request));
  const bool leaves = this->random() % kLeavesOneIn == 0;
  caller.patience =
      std::make_unique<Timer>(this->loop, leaves ? kLeavesAfter : kAnswerBound,
                              Duration(0), [this, &caller, leaves] {
                                if (!leaves) {
                                  this->GiveUp(caller);
                                }
                                this->OnEnd(caller);
                              });
  caller.connection->Write(bytes);
}

void CallerLoad::GiveUp(Caller& caller) {
  const SentRequest& request = this->ledger.requests.at(caller.id);
  if (this->hosts[caller.host].disturbed_at() < request.sent_at) {
    this->ledger.broken.push_back("request " + caller.id +
                                  ": no answer long after its timeout");
  }
}

void CallerLoad::OnData(Caller& caller, std::string_view bytes) {
  if (caller.id.empty()) {
    this->ledger.broken.push_back("bytes came with no request under way");
    return;
  }
  caller.parser.Feed(bytes);
  caller.body += caller.parser.TakeBody();
  if (!caller.parser.done()) {
    return;
  }
  caller.patience.reset();
  const ResponseHead head = caller.parser.head();
  NoteAnswer(this->ledger, std::exchange(caller.id, {}), head, caller.body);
  const std::string_view kept = FindHeader(head.headers, "Connection");
  if (kept == "close") {
    this->OnEnd(caller);
    return;
  }
  this->Later(caller,
              kShortestPause + Milliseconds(this->random() % kPauseSpreadMs));
}

void CallerLoad::OnEnd(Caller& caller) {
  if (!caller.id.empty()) {
    NoteNoAnswer(this->ledger);
    caller.id.clear();
  }
  caller.patience.reset();
  if (caller.connection != nullptr) {
    caller.connection->SetCallbacks({});
    // The connection may be calling.
    auto ended = std::make_shared<std::unique_ptr<TcpConnection>>(
        std::move(caller.connection));
    Post(this->loop, [ended] {});
  }
  this->Later(caller, kReconnectPause);
}

}  // namespace toucanhollow
