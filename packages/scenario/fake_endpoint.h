// A plain service or a model engine as its agent sees it: it runs requests,
// sends the answer in indexed pieces, and records what it ran. It outlives its
// agent, obeys every order, and checks no idempotency key.
#ifndef SCENARIO_FAKE_ENDPOINT_H_
#define SCENARIO_FAKE_ENDPOINT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/incarnation.h"
#include "scenario/event_queue.h"
#include "scenario/observation.h"

namespace toucanhollow {

struct EndpointOrder {
  // The request that is run, known to the observer only.
  std::string request = {};
  // What the answer is made of; equal for repeats of one key.
  std::string body = {};
  std::string key = {};
  // First piece to send, for a resumed stream.
  int first_index = 0;
  int pieces = 1;
};

// What a finished run or a single piece tells the agent.
struct EndpointPiece {
  int index = 0;
  std::string text = {};
  // Set on the last message, which carries no text.
  bool done = false;
  int count = 0;
  // The run ended without an answer.
  bool failed = false;
};

class FakeEndpoint {
 public:
  FakeEndpoint(EventQueue& queue, Observations& seen, const NodeSetup& setup);

  // Starts a run at once and returns its number. `tell` may be called after
  // the agent has died; the caller guards against that.
  std::size_t Start(const EndpointOrder& order,
                    std::function<void(EndpointPiece)> tell);
  void Cancel(std::size_t run);

  // The engine restarts: runs end without an answer and it is cold.
  void Restart();
  // Turns cold without a new incarnation.
  void TurnCold();
  // Does nothing until the time; then goes on.
  void StallUntil(TimePoint time);

  int running() const { return static_cast<int>(this->open.size()); }
  Incarnation incarnation() const { return this->present; }
  Duration StepTime() const;

 private:
  struct OpenRun {
    EndpointOrder order;
    int next = 0;
    std::function<void(EndpointPiece)> tell;
  };
  void Advance(std::size_t run, Incarnation of);
  void End(std::size_t run, bool whole);

  EventQueue& queue;
  Observations& seen;
  NodeSetup setup;
  Incarnation present{1};
  std::map<std::size_t, OpenRun> open;
  TimePoint stalled_until{};
  bool cold = false;
  TimePoint cold_since{};
};

// The text of one piece of the answer to a body, which no other body or index
// has.
std::string PieceText(const std::string& body, int index);
// The whole answer to a body.
std::string WholeAnswer(const std::string& body, int pieces);

// Pieces of an answer: a streamed draft has several, all else has one.
int PiecesOf(bool streamed);

}  // namespace toucanhollow

#endif  // SCENARIO_FAKE_ENDPOINT_H_
