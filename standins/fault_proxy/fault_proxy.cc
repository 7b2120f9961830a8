#include "standins/fault_proxy/fault_proxy.h"

#include <utility>
#include <vector>

#include "base/check.h"

namespace toucanhollow {
namespace {

constexpr Duration kPieceDelay = Milliseconds(80);

}  // namespace

FaultProxy::FaultProxy(EventLoop& loop, Address target)
    : loop(loop), target(std::move(target)) {
  auto listening = TcpListener::Listen(
      loop, {"127.0.0.1", 0}, [this](int socket) { this->Accept(socket); });
  InternalCheck(listening.has_value(), "the proxy listens");
  this->listener = std::move(listening.value());
}

void FaultProxy::SetMode(ProxyMode mode) {
  this->mode = mode;
  std::vector<std::uint64_t> numbers;
  for (auto& [number, pair] : this->pairs) {
    pair.requests_lost = pair.requests_lost || mode == ProxyMode::kSilent;
    pair.answers_lost = pair.answers_lost || mode == ProxyMode::kSilent ||
                        mode == ProxyMode::kOneWay;
    numbers.push_back(number);
  }
  if (mode == ProxyMode::kReset) {
    for (const std::uint64_t number : numbers) {
      this->Close(number, true);
    }
  }
}

void FaultProxy::SilenceOpenConnections() {
  for (auto& [number, pair] : this->pairs) {
    pair.requests_lost = true;
    pair.answers_lost = true;
  }
}

void FaultProxy::Accept(int socket) {
  auto caller = std::make_unique<TcpConnection>(this->loop, socket);
  if (this->mode == ProxyMode::kReset) {
    caller->ResetOnClose();
    return;
  }
  const std::uint64_t number = this->next_pair++;
  Pair& pair = this->pairs[number];
  pair.caller = std::move(caller);
  pair.target = std::make_unique<TcpConnection>(this->loop, this->target);
  pair.requests_lost = this->mode == ProxyMode::kSilent;
  pair.answers_lost = pair.requests_lost || this->mode == ProxyMode::kOneWay;
  pair.caller->SetCallbacks({nullptr,
                             [this, number](std::string_view bytes) {
                               this->Forward(number, true, std::string(bytes));
                             },
                             nullptr,
                             [this, number](ConnectionEnd end) {
                               this->Close(number,
                                           end != ConnectionEnd::kOrderly);
                             }});
  pair.target->SetCallbacks(
      {nullptr,
       [this, number](std::string_view bytes) {
         this->Forward(number, false, std::string(bytes));
       },
       nullptr,
       [this, number](ConnectionEnd end) {
         const auto found = this->pairs.find(number);
         if (found != this->pairs.end() && !found->second.answers_lost) {
           this->Close(number, end != ConnectionEnd::kOrderly);
         }
       }});
}

void FaultProxy::Forward(std::uint64_t number,
                         bool to_target,
                         std::string bytes) {
  const auto found = this->pairs.find(number);
  if (found == this->pairs.end()) {
    return;
  }
  Pair& pair = found->second;
  if (to_target ? pair.requests_lost : pair.answers_lost) {
    return;
  }
  if (this->mode != ProxyMode::kDelay && pair.delayed.empty()) {
    this->Deliver(number, to_target, bytes);
    return;
  }
  const std::uint64_t piece = pair.next_piece++;
  pair.delayed[piece] = std::make_unique<Timer>(
      this->loop, kPieceDelay, Duration(0),
      [this, number, piece, to_target, bytes = std::move(bytes)] {
        this->Deliver(number, to_target, bytes);
        Post(this->loop, [this, number, piece] {
          const auto found = this->pairs.find(number);
          if (found != this->pairs.end()) {
            found->second.delayed.erase(piece);
          }
        });
      });
}

void FaultProxy::Deliver(std::uint64_t number,
                         bool to_target,
                         const std::string& bytes) {
  const auto found = this->pairs.find(number);
  if (found != this->pairs.end()) {
    (to_target ? found->second.target : found->second.caller)->Write(bytes);
  }
}

// Pieces that are still delayed are lost.
void FaultProxy::Close(std::uint64_t number, bool reset) {
  const auto found = this->pairs.find(number);
  if (found == this->pairs.end()) {
    return;
  }
  if (reset) {
    found->second.caller->ResetOnClose();
    found->second.target->ResetOnClose();
  }
  auto pair = std::make_shared<Pair>(std::move(found->second));
  this->pairs.erase(found);
  pair->caller->SetCallbacks({});
  pair->target->SetCallbacks({});
  Post(this->loop, [pair] {});
}

}  // namespace toucanhollow
