#include "session/dialer.h"

#include <algorithm>
#include <utility>

#include "log_text/log.h"
#include "settings/parse_address.h"

namespace toucanhollow {

struct Dialer::State : public std::enable_shared_from_this<Dialer::State> {
  State(ProcessContext& process_context, std::vector<Address> targets)
      : context(process_context), addresses(std::move(targets)) {}

  void Dial();
  void OnClosed(const Failure& reason);

  ProcessContext& context;
  std::vector<Address> addresses;
  std::size_t next_address = 0;
  LocalMessages local_messages;
  DialerEvents events;
  std::shared_ptr<Session> session;
  std::unique_ptr<Timer> reconnect_timer;
  Duration backoff = kInitialReconnectDelay;
  bool up = false;
};

void Dialer::State::Dial() {
  const std::weak_ptr<State> weak = this->weak_from_this();
  this->session = Session::Connect(
      this->context, this->addresses[this->next_address], this->local_messages,
      SessionEvents{[weak](const Hello& peer) {
                      if (const auto state = weak.lock()) {
                        state->up = true;
                        state->backoff = kInitialReconnectDelay;
                        const auto callback = state->events.up;
                        callback(peer);
                      }
                    },
                    [weak](Message message) {
                      if (const auto state = weak.lock()) {
                        state->events.message(std::move(message));
                      }
                    },
                    [weak](const Failure& reason) {
                      if (const auto state = weak.lock()) {
                        state->OnClosed(reason);
                      }
                    }});
}

void Dialer::State::OnClosed(const Failure& reason) {
  if (reason.code != ResultCode::kLinkClosed) {
    Log(Severity::kWarning, "link",
        FormatAddress(this->addresses[this->next_address]) +
            ": session closed; reconnecting: " + FormatFailure(reason));
  }
  if (!this->up) {
    this->next_address = (this->next_address + 1) % this->addresses.size();
  }
  // The jitter prevents many entry hosts from connecting to a restarted process
  // at the same time.
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const auto delay = std::chrono::duration_cast<Duration>(
      this->backoff * jitter(this->context.random));
  this->backoff = std::min(this->backoff * 2, kMaxReconnectDelay);
  this->reconnect_timer = std::make_unique<Timer>(
      this->context.loop, delay, Duration(0), [weak = this->weak_from_this()] {
        if (const auto state = weak.lock()) {
          state->Dial();
        }
      });
  if (std::exchange(this->up, false)) {
    const auto down = this->events.down;
    down(reason);
  }
}

Dialer::Dialer(ProcessContext& context,
               std::vector<Address> addresses,
               LocalMessages local_messages,
               DialerEvents events)
    : state(std::make_shared<State>(context, std::move(addresses))) {
  this->state->local_messages = std::move(local_messages);
  this->state->events = std::move(events);
  this->state->Dial();
}

Dialer::~Dialer() {
  this->state->reconnect_timer.reset();
  this->state->session.reset();
}

bool Dialer::Send(const Message& message) {
  return this->state->up && this->state->session->Send(message);
}

void Dialer::SendHeartbeat() {
  if (this->state->up) {
    this->state->session->SendHeartbeat();
  }
}

bool Dialer::IsUp() const {
  return this->state->up;
}

}  // namespace toucanhollow
