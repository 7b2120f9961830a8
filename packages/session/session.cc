#include "session/session.h"

#include <algorithm>
#include <utility>

#include "log_text/log.h"
#include "wire/codec.h"

namespace toucanhollow {

struct Session::State : public std::enable_shared_from_this<Session::State> {
  State(ProcessContext& process_context, LocalMessages session_messages)
      : context(process_context), local_messages(std::move(session_messages)) {}

  LinkEvents MakeLinkEvents();
  void OnOpened();
  void OnFrame(std::string_view frame);
  void OnHello(const Hello& hello);
  void OnHeartbeatTimer();
  void CountBytes();
  void OnLinkClosed(const std::string& reason);
  void Reject(Failure reason);
  bool SendFrame(const Message& message);

  ProcessContext& context;
  LocalMessages local_messages;
  SessionEvents events;
  std::shared_ptr<Link> link;
  std::unique_ptr<Timer> heartbeat_timer;
  std::optional<Hello> peer;
  std::optional<Failure> rejection;
  TimePoint last_received;
  // Bytes of the link that have been added to the metrics.
  std::uint64_t counted_sent = 0;
  std::uint64_t counted_received = 0;
};

bool Session::State::SendFrame(const Message& message) {
  // Token messages carry no clock: their order is that of their dispatch.
  const bool has_clock = !std::holds_alternative<Token>(message);
  return this->link->Send(EncodeMessage(
      message, has_clock ? this->context.timeline.Send(EventLoop::WallNow())
                         : HybridTime{}));
}

void Session::State::OnOpened() {
  Hello hello = this->local_messages.hello();
  hello.version_min = kProtocolVersionMin;
  hello.version_max = kProtocolVersionMax;
  hello.process = this->context.settings.process;
  hello.data_centre = this->context.settings.data_centre;
  hello.incarnation = this->context.incarnation;
  hello.shared_key = this->context.settings.shared_key;
  this->last_received = EventLoop::Now();
  this->SendFrame(hello);
  const Duration interval = this->context.settings.role == Role::kEndpoint
                                ? kAgentHeartbeatInterval
                                : kEntryHostHeartbeatInterval;
  this->heartbeat_timer = std::make_unique<Timer>(
      this->context.loop, interval, interval, [weak = this->weak_from_this()] {
        if (const auto state = weak.lock()) {
          state->OnHeartbeatTimer();
        }
      });
}

void Session::State::OnHeartbeatTimer() {
  if (EventLoop::Now() - this->last_received > kPeerTimeout) {
    this->Reject(MakeFailure(ResultCode::kLinkClosed,
                             "the peer has sent nothing for 8 s"));
    return;
  }
  if (this->peer) {
    this->SendFrame(this->local_messages.heartbeat());
  }
  this->CountBytes();
}

void Session::State::CountBytes() {
  const std::uint64_t sent = this->link->BytesSent();
  const std::uint64_t received = this->link->BytesReceived();
  this->context.metrics.Count("link_bytes", "direction=\"sent\"",
                              sent - std::exchange(this->counted_sent, sent));
  this->context.metrics.Count(
      "link_bytes", "direction=\"received\"",
      received - std::exchange(this->counted_received, received));
}

// Closes the link and reports the reason to the owner of the session.
void Session::State::Reject(Failure reason) {
  if (!this->rejection) {
    this->rejection = std::move(reason);
  }
  this->link->Close();
}

namespace {

// Compares in constant time, so that the duration reveals nothing about the
// key.
bool EqualInConstantTime(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < std::min(left.size(), right.size()); ++i) {
    difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i]) ^
                                        static_cast<unsigned char>(right[i]));
  }
  return difference == 0;
}

}  // namespace

void Session::State::OnHello(const Hello& hello) {
  if (hello.version_min > kProtocolVersionMax ||
      hello.version_max < kProtocolVersionMin) {
    this->Reject(MakeFailure(ResultCode::kProtocolVersionMismatch,
                             "the peer supports protocol versions " +
                                 std::to_string(hello.version_min) + " to " +
                                 std::to_string(hello.version_max)));
    return;
  }
  if (!EqualInConstantTime(hello.shared_key,
                           this->context.settings.shared_key)) {
    this->Reject(MakeFailure(ResultCode::kLinkUnauthorized,
                             "the peer's shared key differs"));
    return;
  }
  this->peer = hello;
  this->peer->shared_key.clear();
  this->SendFrame(this->local_messages.heartbeat());
  if (this->events.established) {
    const auto established = this->events.established;
    established(*this->peer);
  }
}

void Session::State::OnFrame(std::string_view frame) {
  // Messages that arrive after Close are still processed: they are answers.
  if (this->rejection) {
    return;
  }
  this->last_received = EventLoop::Now();
  Result<DecodedFrame> decoded = DecodeMessage(frame);
  if (!decoded) {
    this->context.metrics.Count("link_frames_malformed");
    this->Reject(decoded.error());
    return;
  }
  DecodedFrame& value = decoded.value();
  if (value.counts != DecodeCounts{}) {
    this->context.metrics.Count("link_unknown_fields", "",
                                value.counts.unknown_fields);
    this->context.metrics.Count("link_unknown_types", "",
                                value.counts.unknown_types);
  }
  if (value.clock != HybridTime{}) {
    this->context.timeline.Receive(value.clock, EventLoop::WallNow());
  }
  if (!value.message) {
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&*value.message)) {
    if (!this->peer) {
      this->OnHello(*hello);
    }
    return;
  }
  if (!this->peer) {
    this->Reject(MakeFailure(ResultCode::kFrameMalformed,
                             "a message arrived before the Hello"));
    return;
  }
  if (this->events.message) {
    this->events.message(std::move(*value.message));
  }
}

void Session::State::OnLinkClosed(const std::string& reason) {
  this->heartbeat_timer.reset();
  const SessionEvents last_events =
      std::exchange(this->events, SessionEvents{});
  if (last_events.closed) {
    last_events.closed(
        this->rejection.value_or(MakeFailure(ResultCode::kLinkClosed, reason)));
  }
}

LinkEvents Session::State::MakeLinkEvents() {
  const std::weak_ptr<State> weak = this->weak_from_this();
  return LinkEvents{[weak] {
                      if (const auto state = weak.lock()) {
                        state->OnOpened();
                      }
                    },
                    [weak](std::string_view frame) {
                      if (const auto state = weak.lock()) {
                        state->OnFrame(frame);
                      }
                    },
                    [weak](const std::string& reason) {
                      if (const auto state = weak.lock()) {
                        state->OnLinkClosed(reason);
                      }
                    }};
}

Session::Session(std::shared_ptr<State> session_state)
    : state(std::move(session_state)) {}

Session::~Session() {
  // The events may be on the call stack; they are destroyed with the state.
  this->state->heartbeat_timer.reset();
  this->state->link.reset();
}

std::shared_ptr<Session> Session::Connect(ProcessContext& context,
                                          const Address& address,
                                          const LocalMessages& local_messages,
                                          SessionEvents events) {
  const auto state = std::make_shared<State>(context, local_messages);
  state->events = std::move(events);
  auto session = std::make_shared<Session>(state);
  state->link = Link::Connect(context.loop, address.ip, address.port,
                              LinkLimits{}, state->MakeLinkEvents());
  return session;
}

bool Session::Send(const Message& message) {
  return this->state->peer && this->state->SendFrame(message);
}

void Session::SendHeartbeat() {
  this->Send(this->state->local_messages.heartbeat());
}

void Session::Close() {
  this->state->link->Close();
}

const std::optional<Hello>& Session::Peer() const {
  return this->state->peer;
}

std::size_t Session::QueuedBytes() const {
  return this->state->link->QueuedBytes();
}

SessionListener::SessionListener(
    ProcessContext& context,
    const Address& address,
    LocalMessages local_messages,
    std::function<SessionEvents(std::shared_ptr<Session>)> accepted) {
  this->listener = std::make_unique<LinkListener>(
      context.loop, address.ip, address.port, LinkLimits{},
      [&context, local_messages = std::move(local_messages),
       accepted = std::move(accepted)](std::shared_ptr<Link> link) {
        const auto state =
            std::make_shared<Session::State>(context, local_messages);
        state->link = std::move(link);
        state->events = accepted(std::make_shared<Session>(state));
        return state->MakeLinkEvents();
      });
}

SessionListener::~SessionListener() = default;

const std::string& SessionListener::Error() const {
  return this->listener->Error();
}

int SessionListener::Port() const {
  return this->listener->Port();
}

}  // namespace toucanhollow
