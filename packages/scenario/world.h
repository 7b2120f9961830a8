// The world of one run: simulated time, the outside parties, and the processes
// with their life, pauses and deaths. Performers of deciding functions act only
// through it, so that a dead process has no effect and a paused one a late one.
#ifndef SCENARIO_WORLD_H_
#define SCENARIO_WORLD_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/incarnation.h"
#include "scenario/defect.h"
#include "scenario/event_queue.h"
#include "scenario/fake_log.h"
#include "scenario/fake_network.h"
#include "scenario/moment.h"
#include "scenario/observation.h"

namespace toucanhollow {

class World {
 public:
  World(std::uint64_t seed, Defect defect, bool tracing);

  // Starts a process, or a new run of it.
  Incarnation StartProcess(const std::string& name);
  void EndProcess(const std::string& name, NodeFact fact);
  void PauseProcess(const std::string& name, Duration duration);
  bool IsAlive(const std::string& name, Incarnation incarnation) const;
  Incarnation IncarnationOf(const std::string& name) const;

  // Runs `work` in the given run of the process: at once, at the end of its
  // pause, or never if that run has ended.
  void InProcess(const std::string& name,
                 Incarnation incarnation,
                 std::function<void()> work);
  void InProcessAfter(Duration delay,
                      const std::string& name,
                      Incarnation incarnation,
                      const std::function<void()>& work);
  // Sends from a run of a process; `work` runs in whatever run of the receiver
  // is alive when the message arrives.
  void Send(const std::string& from,
            Incarnation incarnation,
            const std::string& to,
            const std::function<void()>& work);

  // Runs `work` when the moment is next reached, at any process if `at` is
  // empty.
  void When(Moment moment, const std::string& at, std::function<void()> work);
  // A performer reached the moment. Effects of `when` strike before the
  // performer goes on.
  void Reach(Moment moment, const std::string& process);

  void Trace(const std::string& line);
  TimePoint Now() const { return this->queue.Now(); }
  WallTime WallNow() const { return this->log.WallNow(); }
  bool Has(Defect other) const { return this->defect == other; }

  EventQueue queue;
  FakeNetwork network;
  FakeLog log;
  Observations seen;
  const Defect defect;
  const bool tracing;

 private:
  struct Process {
    std::optional<Incarnation> alive;
    TimePoint paused_until{};
    std::vector<std::pair<Incarnation, std::function<void()>>> deferred;
  };
  struct Hook {
    Moment moment;
    std::string at;
    std::function<void()> work;
  };
  void Wake(const std::string& name);

  std::map<std::string, Process> processes;
  std::vector<Hook> hooks;
};

}  // namespace toucanhollow

#endif  // SCENARIO_WORLD_H_
