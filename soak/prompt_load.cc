#include "soak/prompt_load.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace toucanhollow {
namespace {

// Half a second after the timeout of the route, with room for a machine that is
// busy with other work.
constexpr Duration kAnswerSlack = Milliseconds(1500);
// One chunk in so many is sent later than the one before it.
constexpr unsigned int kMostChunks = 12;
constexpr unsigned int kPausedChunkOneIn = 6;
constexpr int kChunkPauseSpreadMs = 30;

std::string ToChunk(std::string_view text) {
  std::ostringstream size;
  size << std::hex << text.size();
  return size.str() + "\r\n" + std::string(text) + "\r\n";
}

}  // namespace

std::string PromptBody(const std::string& id, std::size_t size) {
  std::string body = id;
  body.resize(size, 'p');
  return body;
}

void CheckPromptBody(Ledger& ledger,
                     const std::string& id,
                     const std::string& body,
                     std::size_t largest) {
  if (body != (largest == 0 ? "" : PromptBody(id, body.size()))) {
    NoteBroken(ledger, "prompt " + id + ": a server got another body");
  }
}

struct PromptLoad::Sent {
  std::string id;
  std::size_t host = 0;
  TimePoint sent_at;
  std::optional<TimePoint> whole_at;
  bool sound = true;
  bool answered = false;
  bool on_kept_connection = false;
  bool chunked = false;
  std::unique_ptr<TcpConnection> connection;
  ResponseParser parser{true};
  std::string body;
  // What is left to send, in pieces.
  std::deque<std::string> pieces;
  std::unique_ptr<Timer> next_piece;
  std::unique_ptr<Timer> patience;
};

PromptLoad::PromptLoad(EventLoop& loop,
                       Ledger& ledger,
                       std::vector<HostView> hosts,
                       PromptLoadOptions options)
    : loop(loop),
      ledger(ledger),
      hosts(std::move(hosts)),
      options(std::move(options)),
      random(this->options.seed),
      timer(loop, this->options.period, this->options.period, [this] {
        this->SendOne();
      }) {}

PromptLoad::~PromptLoad() = default;

void PromptLoad::TakeConnection(Sent& sent) {
  if (this->options.keeps_connections && !this->kept.empty() &&
      this->random() % 2 == 0) {
    const auto chosen = std::next(
        this->kept.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->kept.size()));
    sent.host = chosen->second.host;
    sent.connection = std::move(chosen->second.connection);
    sent.on_kept_connection = true;
    this->kept.erase(chosen);
  } else {
    sent.host = this->random() % this->hosts.size();
    sent.connection = std::make_unique<TcpConnection>(
        this->loop, this->hosts[sent.host].address);
  }
  sent.connection->SetCallbacks(
      {nullptr,
       [this, &sent](std::string_view bytes) { this->OnData(sent, bytes); },
       nullptr, [this, &sent](ConnectionEnd how) { this->OnEnd(sent, how); }});
}

void PromptLoad::SendBody(Sent& sent) {
  while (!sent.pieces.empty() && sent.connection != nullptr) {
    sent.connection->Write(sent.pieces.front());
    sent.pieces.pop_front();
    if (!sent.pieces.empty() && this->random() % kPausedChunkOneIn == 0) {
      sent.next_piece = std::make_unique<Timer>(
          this->loop, Milliseconds(1 + this->random() % kChunkPauseSpreadMs),
          Duration(0), [this, &sent] { this->SendBody(sent); });
      return;
    }
  }
  sent.whole_at = EventLoop::Now();
}

void PromptLoad::SendOne() {
  auto entry = std::make_unique<Sent>();
  Sent& sent = *entry;
  sent.id = this->options.name + std::to_string(this->next_id++);
  sent.sent_at = EventLoop::Now();
  this->TakeConnection(sent);
  const Prompt prompt = this->options.draw(this->random);
  sent.sound = prompt.sound;
  sent.patience = std::make_unique<Timer>(
      this->loop, kPromptTimeout + kAnswerSlack, Duration(0), [this, &sent] {
        NoteGivenUp(this->ledger, "prompt " + sent.id, sent.sent_at,
                    this->hosts[sent.host].disturbed_at());
        this->OnEnd(sent, std::nullopt);
      });
  std::string body;
  std::string framing;
  if (this->options.largest_body > 0) {
    body = PromptBody(
        sent.id, sent.id.size() + this->random() % this->options.largest_body);
    sent.chunked = this->random() % 2 == 0;
    framing = sent.chunked
                  ? "Transfer-Encoding: chunked\r\n"
                  : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  sent.pieces.push_back(
      "POST " + this->options.target +
      " HTTP/1.1\r\nHost: h\r\nX-Toucanhollow-Request-Id: " + sent.id +
      "\r\nX-Toucanhollow-Deadline-Ms: " +
      std::to_string(kPromptTimeout / Milliseconds(1)) +
      "\r\nX-Toucanhollow-Prompt-Prefix: " + prompt.parts + sent.id +
      ":9\r\nAuthorization: Token k1\r\n" + framing +
      (this->options.keeps_connections ? "" : "Connection: close\r\n") +
      "\r\n");
  if (sent.chunked) {
    const std::size_t most =
        1 + body.size() / (1 + this->random() % kMostChunks);
    for (std::size_t at = 0; at < body.size(); at += most) {
      sent.pieces.push_back(ToChunk(body.substr(at, most)));
    }
    sent.pieces.emplace_back("0\r\n\r\n");
  } else {
    sent.pieces.front() += body;
  }
  this->prompts.emplace(sent.id, std::move(entry));
  this->SendBody(sent);
}

void PromptLoad::OnData(Sent& sent, std::string_view bytes) {
  sent.parser.Feed(bytes);
  sent.body += sent.parser.TakeBody();
  if (sent.parser.done()) {
    this->OnAnswer(sent);
    const bool closes =
        FindHeader(sent.parser.head().headers, "Connection") == "close";
    if (!this->options.keeps_connections || closes || !sent.whole_at) {
      this->Release(sent);
      return;
    }
    sent.patience.reset();
    const std::uint64_t number = this->next_kept++;
    sent.connection->SetCallbacks(
        {nullptr,
         [this](std::string_view) {
           NoteBroken(this->ledger, "bytes came with no prompt under way");
         },
         nullptr,
         [this, number](ConnectionEnd) {
           const auto ended =
               std::make_shared<Kept>(std::move(this->kept.at(number)));
           this->kept.erase(number);
           Post(this->loop, [ended] {});
         }});
    this->kept[number] = {sent.host, std::move(sent.connection)};
  }
}

void PromptLoad::Release(Sent& sent) {
  sent.patience.reset();
  sent.next_piece.reset();
  sent.connection->SetCallbacks({});
  // The connection may be calling.
  auto ended = std::make_shared<std::unique_ptr<TcpConnection>>(
      std::move(sent.connection));
  Post(this->loop, [ended] {});
}

void PromptLoad::OnAnswer(Sent& sent) {
  const int status = sent.parser.head().status;
  sent.answered = status == 200;
  if (sent.answered && sent.body != this->options.answer(sent.id)) {
    NoteBroken(this->ledger,
               "prompt " + sent.id + ": got another body: " + sent.body);
  }
  // 408, 421 and 429 are refusals.
  const bool refused = status == 408 || status == 421 || status == 429;
  if (status >= 300 && status < 500 && !refused) {
    NoteBroken(this->ledger,
               "prompt " + sent.id + ": got status " + std::to_string(status));
  }
}

// `how` is empty if the caller gave up.
void PromptLoad::OnEnd(Sent& sent, std::optional<ConnectionEnd> how) {
  const HostView& host = this->hosts[sent.host];
  RequestEnd end;
  end.sent_at = sent.sent_at;
  end.whole_at = sent.whole_at;
  end.ended_at = EventLoop::Now();
  end.timeout = kPromptTimeout;
  end.caller_left = !how;
  end.not_connected = how == ConnectionEnd::kNotConnected;
  end.on_used_connection = sent.on_kept_connection;
  end.on_idle_connection = sent.on_kept_connection;
  end.ran = sent.parser.head_done() || this->options.arrived(sent.id);
  end.server_broke = this->options.broke_off(sent.id);
  end.host_disturbed_at = host.disturbed_at();
  end.host_stopping_since = host.stopping_since();
  end.grace = host.grace;
  NoteNoAnswer(this->ledger,
               "prompt " + sent.id + " to host " + std::to_string(sent.host) +
                   (sent.chunked ? ", in chunks" : ""),
               end);
  this->Release(sent);
}

double PromptLoad::ServedFraction(TimePoint from, TimePoint to) const {
  double sent = 0;
  double served = 0;
  for (const auto& [id, prompt] : this->prompts) {
    if (prompt->sound && prompt->sent_at >= from && prompt->sent_at < to) {
      ++sent;
      served += prompt->answered ? 1 : 0;
    }
  }
  return sent == 0 ? 0 : served / sent;
}

const HostView& PromptLoad::HostOf(const std::string& id) const {
  return this->hosts[this->prompts.at(id)->host];
}

}  // namespace toucanhollow
