#include "scenario/world.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {

World::World(std::uint64_t seed, Defect defect, bool tracing)
    : queue(seed),
      network(queue),
      log(queue, network),
      defect(defect),
      tracing(tracing) {}

Incarnation World::StartProcess(const std::string& name) {
  const Incarnation incarnation{
      static_cast<std::uint64_t>(this->WallNow().time_since_epoch().count())};
  Process& process = this->processes[name];
  process = {.alive = incarnation, .paused_until = {}, .deferred = {}};
  this->seen.nodes.push_back(
      {.time = this->Now(), .fact = NodeFact::kProcessStarted, .node = name});
  this->Trace(name + " starts");
  return incarnation;
}

void World::EndProcess(const std::string& name, NodeFact fact) {
  Process& process = this->processes[name];
  if (!process.alive) {
    return;
  }
  process = {};
  this->seen.nodes.push_back({.time = this->Now(), .fact = fact, .node = name});
  this->Trace(name + (fact == NodeFact::kExited ? " exits" : " dies"));
}

void World::PauseProcess(const std::string& name, Duration duration) {
  Process& process = this->processes[name];
  process.paused_until = std::max(process.paused_until, this->Now() + duration);
  this->queue.After(duration, [this, name] { this->Wake(name); });
}

void World::Wake(const std::string& name) {
  Process& process = this->processes[name];
  if (process.paused_until > this->Now()) {
    return;
  }
  this->Trace(name + " wakes");
  for (auto& [incarnation, work] : std::exchange(process.deferred, {})) {
    this->InProcess(name, incarnation, std::move(work));
  }
}

bool World::IsAlive(const std::string& name, Incarnation incarnation) const {
  const auto found = this->processes.find(name);
  return found != this->processes.end() && found->second.alive == incarnation;
}

Incarnation World::IncarnationOf(const std::string& name) const {
  const auto found = this->processes.find(name);
  return found == this->processes.end() || !found->second.alive
             ? Incarnation{}
             : *found->second.alive;
}

void World::InProcess(const std::string& name,
                      Incarnation incarnation,
                      std::function<void()> work) {
  Process& process = this->processes[name];
  if (process.alive != incarnation) {
    return;
  }
  if (process.paused_until > this->Now()) {
    process.deferred.emplace_back(incarnation, std::move(work));
    return;
  }
  work();
}

void World::InProcessAfter(Duration delay,
                           const std::string& name,
                           Incarnation incarnation,
                           const std::function<void()>& work) {
  this->queue.After(delay,
                    [=, this] { this->InProcess(name, incarnation, work); });
}

void World::Send(const std::string& from,
                 Incarnation incarnation,
                 const std::string& to,
                 const std::function<void()>& work) {
  this->InProcess(from, incarnation, [=, this] {
    this->network.Send(from, to, [=, this] {
      this->InProcess(to, this->IncarnationOf(to), work);
    });
  });
}

void World::When(Moment moment,
                 const std::string& at,
                 std::function<void()> work) {
  this->hooks.push_back({moment, at, std::move(work)});
}

void World::Reach(Moment moment, const std::string& process) {
  if (this->tracing) {
    this->Trace(process + ": " + std::string(NameOf(moment)));
  }
  std::vector<Hook> due;
  std::erase_if(this->hooks, [&](const Hook& hook) {
    const bool matches =
        hook.moment == moment && (hook.at.empty() || hook.at == process);
    if (matches) {
      due.push_back(hook);
    }
    return matches;
  });
  for (const Hook& hook : due) {
    hook.work();
  }
}

void World::Trace(const std::string& line) {
  if (this->tracing) {
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
        this->Now().time_since_epoch());
    this->seen.trace.push_back(std::to_string(now.count()) + " us " + line);
  }
}

}  // namespace toucanhollow
