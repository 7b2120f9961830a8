#include "scenario/fake_endpoint.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

constexpr Duration kWarmStep = Milliseconds(10);
// More than 3 times the warm step, so that an agent can see it.
constexpr Duration kColdStep = Milliseconds(40);
constexpr int kStreamPieces = 8;
constexpr Duration kColdTime = Seconds(2);

}  // namespace

int PiecesOf(bool streamed) {
  return streamed ? kStreamPieces : 1;
}

std::string PieceText(const std::string& body, int index) {
  return body + "." + std::to_string(index) + " ";
}

std::string WholeAnswer(const std::string& body, int pieces) {
  std::string text;
  for (int index = 0; index < pieces; ++index) {
    text += PieceText(body, index);
  }
  return text;
}

FakeEndpoint::FakeEndpoint(EventQueue& queue,
                           Observations& seen,
                           const NodeSetup& setup)
    : queue(queue), seen(seen), setup(setup), cold(!setup.warm) {
  if (this->cold) {
    this->seen.nodes.push_back({.time = this->queue.Now(),
                                .fact = NodeFact::kEngineStarted,
                                .node = setup.name});
  }
}

Duration FakeEndpoint::StepTime() const {
  const bool is_cold =
      this->cold && this->queue.Now() - this->cold_since < kColdTime;
  return is_cold ? kColdStep : kWarmStep;
}

std::size_t FakeEndpoint::Start(const EndpointOrder& order,
                                std::function<void(EndpointPiece)> tell) {
  const std::size_t run = this->seen.runs.size();
  this->seen.runs.push_back({.started = this->queue.Now(),
                             .ended = this->queue.Now(),
                             .endpoint = this->setup.name,
                             .data_centre = this->setup.data_centre,
                             .service = this->setup.service,
                             .request = order.request,
                             .key = order.key});
  this->open[run] = {
      .order = order, .next = order.first_index, .tell = std::move(tell)};
  const Incarnation of = this->present;
  this->queue.After(this->StepTime(), [=, this] { this->Advance(run, of); });
  return run;
}

void FakeEndpoint::Advance(std::size_t run, Incarnation of) {
  const auto found = this->open.find(run);
  if (found == this->open.end() || of != this->present) {
    return;
  }
  if (this->stalled_until > this->queue.Now()) {
    this->queue.After(this->stalled_until - this->queue.Now(),
                      [=, this] { this->Advance(run, of); });
    return;
  }
  OpenRun& state = found->second;
  const auto tell = state.tell;
  if (state.next < state.order.pieces) {
    const EndpointPiece piece{.index = state.next,
                              .text = PieceText(state.order.body, state.next)};
    ++state.next;
    tell(piece);
    this->queue.After(this->StepTime(), [=, this] { this->Advance(run, of); });
    return;
  }
  const int count = state.order.pieces;
  this->End(run, true);
  tell({.done = true, .count = count});
}

void FakeEndpoint::End(std::size_t run, bool whole) {
  this->open.erase(run);
  this->seen.runs[run].ended = this->queue.Now();
  this->seen.runs[run].whole = whole;
}

void FakeEndpoint::Cancel(std::size_t run) {
  if (this->open.contains(run)) {
    this->End(run, false);
    this->seen.runs[run].cancelled = true;
  }
}

void FakeEndpoint::Restart() {
  ++this->present.value;
  this->cold = true;
  this->cold_since = this->queue.Now();
  this->seen.nodes.push_back({.time = this->queue.Now(),
                              .fact = NodeFact::kEngineStarted,
                              .node = this->setup.name});
  for (auto& [run, state] : std::exchange(this->open, {})) {
    this->seen.runs[run].ended = this->queue.Now();
    state.tell({.done = true, .failed = true});
  }
}

void FakeEndpoint::TurnCold() {
  this->cold = true;
  this->cold_since = this->queue.Now();
  this->seen.nodes.push_back({.time = this->queue.Now(),
                              .fact = NodeFact::kEngineTurnedCold,
                              .node = this->setup.name});
}

void FakeEndpoint::StallUntil(TimePoint time) {
  this->stalled_until = std::max(this->stalled_until, time);
}

}  // namespace toucanhollow
