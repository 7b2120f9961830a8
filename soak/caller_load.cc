#include "soak/caller_load.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace toucanhollow {
namespace {

constexpr Duration kReconnectPause = Milliseconds(40);
// Half a second after the timeout of the route, with room for a machine that is
// busy with other work.
constexpr Duration kAnswerSlack = Milliseconds(1500);
constexpr Duration kLeavesAfter = Milliseconds(30);
// One request in so many on a kept connection is followed by another at once.
constexpr unsigned int kPairOneIn = 12;
// So many callers pause for the planned time; more of them pause for longer.
constexpr int kHurriedCallers = 24;

}  // namespace

struct CallerLoad::Caller {
  // A request under way.
  struct Waiting {
    std::string id;
    std::optional<TimePoint> whole_at;
    bool on_used_connection = false;
    bool on_idle_connection = false;
  };

  bool keeps_connection = false;
  std::size_t host = 0;
  std::unique_ptr<TcpConnection> connection;
  // Some request was answered on the connection.
  bool was_used = false;
  bool close_announced = false;
  bool half_closed = false;
  std::deque<Waiting> waiting;
  ResponseParser parser{true};
  std::string body;
  std::unique_ptr<Timer> pause;
  std::unique_ptr<Timer> patience;
  std::unique_ptr<Timer> second_half;
};

CallerLoad::CallerLoad(EventLoop& loop,
                       Ledger& ledger,
                       std::vector<HostView> hosts,
                       unsigned int seed,
                       int callers)
    : loop(loop),
      ledger(ledger),
      hosts(std::move(hosts)),
      random(seed),
      pause_factor(std::max(1, callers / kHurriedCallers)) {
  for (int i = 0; i < callers; ++i) {
    this->callers.push_back(std::make_unique<Caller>());
    this->callers.back()->keeps_connection = i % 2 == 0;
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
  caller.was_used = false;
  caller.close_announced = false;
  caller.half_closed = false;
  caller.parser = ResponseParser(true);
  caller.body.clear();
  caller.connection = std::make_unique<TcpConnection>(
      this->loop, this->hosts[caller.host].address);
  caller.connection->SetCallbacks(
      {nullptr,
       [this, &caller](std::string_view bytes) { this->OnData(caller, bytes); },
       nullptr,
       [this, &caller](ConnectionEnd how) { this->OnEnd(caller, how); }});
}

void CallerLoad::Ask(Caller& caller) {
  if (this->finishing) {
    return;
  }
  if (caller.connection == nullptr) {
    this->Connect(caller);
  }
  PlannedRequest planned = PlanRequest(this->random);
  const bool pair = caller.keeps_connection && this->random() % kPairOneIn == 0;
  if (pair) {
    planned.second_half_after = Duration(0);
    planned.half_closes = false;
  }
  const bool close = !caller.keeps_connection && this->random() % 2 == 0;
  Duration bound = planned.timeout;
  this->Send(caller, planned, close);
  if (pair) {
    PlannedRequest second = PlanRequest(this->random);
    second.second_half_after = Duration(0);
    bound += second.timeout;
    this->Send(caller, second, false);
  }
  const Duration wait = planned.leaves
                            ? kLeavesAfter
                            : bound + planned.second_half_after + kAnswerSlack;
  caller.patience = std::make_unique<Timer>(
      this->loop, wait, Duration(0), [this, &caller, leaves = planned.leaves] {
        if (!leaves) {
          this->GiveUp(caller);
        }
        this->OnEnd(caller, std::nullopt);
      });
}

void CallerLoad::Send(Caller& caller,
                      const PlannedRequest& planned,
                      bool close) {
  const TimePoint now = EventLoop::Now();
  SentRequest request;
  request.kind = planned.kind;
  request.target = planned.target;
  request.sent_at = now;
  request.timeout = planned.timeout;
  request.host = caller.host;
  Caller::Waiting waiting;
  waiting.id = "r" + std::to_string(this->next_id++);
  waiting.on_used_connection = caller.was_used || !caller.waiting.empty();
  waiting.on_idle_connection = caller.was_used && caller.waiting.empty();
  if (planned.form != BodyForm::kNone) {
    request.body = "body of " + waiting.id;
  }
  std::string bytes = RequestBytes(waiting.id, planned, request.body, close);
  if (planned.second_half_after == Duration(0)) {
    waiting.whole_at = now;
  } else {
    const std::size_t first = bytes.size() - request.body.size() / 2;
    caller.second_half = std::make_unique<Timer>(
        this->loop, planned.second_half_after, Duration(0),
        [this, &caller, planned, rest = bytes.substr(first)] {
          caller.waiting.back().whole_at = EventLoop::Now();
          caller.connection->Write(rest);
          this->HalfClose(caller, planned);
        });
    bytes.resize(first);
  }
  const bool whole = waiting.whole_at.has_value();
  this->ledger.requests.emplace(waiting.id, std::move(request));
  caller.waiting.push_back(std::move(waiting));
  caller.connection->Write(bytes);
  if (whole) {
    this->HalfClose(caller, planned);
  }
}

void CallerLoad::HalfClose(Caller& caller, const PlannedRequest& planned) {
  if (planned.half_closes) {
    caller.half_closed = true;
    caller.connection->FinishWriting();
  }
}

void CallerLoad::GiveUp(Caller& caller) {
  const std::string& id = caller.waiting.front().id;
  const SentRequest& request = this->ledger.requests.at(id);
  NoteGivenUp(this->ledger, "request " + id, request.sent_at,
              this->hosts[caller.host].disturbed_at());
}

void CallerLoad::OnData(Caller& caller, std::string_view bytes) {
  std::string rest(bytes);
  while (!rest.empty() && caller.connection != nullptr) {
    if (caller.waiting.empty()) {
      NoteBroken(this->ledger, "bytes came with no request under way");
      return;
    }
    caller.parser.Feed(rest);
    caller.body += caller.parser.TakeBody();
    if (!caller.parser.done()) {
      return;
    }
    rest = caller.parser.TakeUnparsedBytes();
    this->OnAnswer(caller);
  }
}

void CallerLoad::OnAnswer(Caller& caller) {
  const ResponseHead head = caller.parser.head();
  const Caller::Waiting answered = caller.waiting.front();
  caller.waiting.pop_front();
  NoteAnswer(this->ledger, answered.id, head, std::exchange(caller.body, {}));
  caller.parser = ResponseParser(true);
  this->ledger.answered_half_closed += caller.half_closed ? 1 : 0;
  caller.was_used = true;
  caller.close_announced = FindHeader(head.headers, "Connection") == "close";
  const bool last_answer = caller.half_closed && caller.waiting.empty();
  if (caller.close_announced || !caller.keeps_connection ||
      !answered.whole_at || last_answer) {
    this->OnEnd(caller, ConnectionEnd::kOrderly);
  } else if (caller.waiting.empty()) {
    caller.patience.reset();
    this->Later(caller, PlanPause(this->random) * this->pause_factor);
  }
}

// `how` is empty if the caller leaves.
void CallerLoad::OnEnd(Caller& caller, std::optional<ConnectionEnd> how) {
  const HostView& host = this->hosts[caller.host];
  std::optional<RequestEndKind> before;
  for (const Caller::Waiting& waiting : caller.waiting) {
    const SentRequest& request = this->ledger.requests.at(waiting.id);
    RequestEnd end;
    end.sent_at = request.sent_at;
    end.whole_at = waiting.whole_at;
    end.ended_at = EventLoop::Now();
    end.timeout = request.timeout;
    end.caller_left = !how;
    end.not_connected = how == ConnectionEnd::kNotConnected;
    end.on_used_connection = waiting.on_used_connection;
    end.on_idle_connection = waiting.on_idle_connection;
    end.close_announced = caller.close_announced;
    end.behind = before;
    end.ran = !request.ran_at.empty();
    end.finished_at = request.finished_at;
    end.server_broke = request.server_broke;
    end.host_disturbed_at = host.disturbed_at();
    end.host_stopping_since = host.stopping_since();
    end.grace = host.grace;
    before = NoteNoAnswer(this->ledger,
                          "request " + waiting.id + " " + request.target +
                              " to host " + std::to_string(request.host) +
                              (caller.half_closed ? ", half-closed" : ""),
                          end);
  }
  this->Disconnect(caller);
  this->Later(caller, kReconnectPause * this->pause_factor);
}

void CallerLoad::Disconnect(Caller& caller) {
  caller.waiting.clear();
  caller.patience.reset();
  caller.second_half.reset();
  if (caller.connection != nullptr) {
    caller.connection->SetCallbacks({});
    // The connection may be calling.
    auto ended = std::make_shared<std::unique_ptr<TcpConnection>>(
        std::move(caller.connection));
    Post(this->loop, [ended] {});
  }
}

}  // namespace toucanhollow
