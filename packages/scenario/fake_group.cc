#include "scenario/fake_group.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace toucanhollow {

// Carries out one order on one engine.
struct FakeGroup::Obey {
  FakeGroup& group;
  Engine& engine;
  int rank = 0;

  bool Fenced(ChangeOffset token) const {
    if (this->engine.setup.fencing && token < this->engine.newest_token) {
      return true;
    }
    this->engine.newest_token = std::max(this->engine.newest_token, token);
    return false;
  }

  void operator()(const StageOrder& order) const {
    if (this->Fenced(order.change) || this->engine.loading == order.change ||
        this->engine.status.staged == order.change) {
      return;
    }
    this->engine.loading = order.change;
    FakeGroup* of = &this->group;
    const int at = this->rank;
    const Incarnation incarnation = this->engine.status.incarnation;
    this->group.world.queue.After(
        kStagingTime, [of, at, incarnation, change = order.change] {
          Engine& loaded = of->engines.at(at);
          if (loaded.status.incarnation == incarnation &&
              loaded.loading == change) {
            loaded.loading.reset();
            loaded.status.staged = change;
            of->world.Reach(Moment::kStaged, loaded.setup.name);
          }
        });
  }

  void operator()(const HoldOrder& order) const {
    if (!this->Fenced(order.change) && this->engine.status.staged &&
        order.step > this->group.present_step) {
      this->engine.status.hold_step = order.step;
    }
  }

  void operator()(const ActivateOrder& order) const {
    if (this->Fenced(order.change) ||
        this->engine.status.staged != order.change ||
        order.step <= this->group.present_step) {
      return;
    }
    this->engine.activation = std::pair{order.step, order.change};
    if (this->engine.status.hold_step == order.step) {
      this->engine.status.hold_step.reset();
    }
  }

  void operator()(const ContinueOrder& order) const {
    if (this->Fenced(order.change)) {
      return;
    }
    if (this->engine.status.staged == order.change) {
      this->engine.status.staged.reset();
    }
    if (this->engine.status.hold_step == order.step) {
      this->engine.status.hold_step.reset();
    }
  }

  void operator()(const LoadOrder& order) const {
    if (order.engine == this->engine.status.incarnation &&
        !this->engine.status.version) {
      this->engine.status.version = order.version.version;
    }
  }
};

FakeGroup::FakeGroup(World& world, std::string name)
    : world(world), name(std::move(name)) {
  world.queue.After(kGroupStepTime, [this] { this->Advance(); });
}

void FakeGroup::AddRank(const NodeSetup& setup) {
  Engine engine;
  engine.setup = setup;
  engine.status.incarnation = Incarnation{1};
  engine.status.version = 0;
  this->engines[setup.rank] = engine;
}

MapEngineStatus FakeGroup::StatusOf(int rank) const {
  MapEngineStatus status = this->engines.at(rank).status;
  status.step = this->present_step;
  return status;
}

void FakeGroup::Order(int rank, const MapOrder& order) {
  std::visit(Obey{*this, this->engines.at(rank), rank}, order);
}

void FakeGroup::StallUntil(int rank, TimePoint time) {
  this->engines.at(rank).stalled_until = time;
}

void FakeGroup::Restart(int rank) {
  Engine& engine = this->engines.at(rank);
  MapEngineStatus fresh;
  fresh.incarnation = Incarnation{engine.status.incarnation.value + 1};
  const NodeSetup setup = engine.setup;
  engine = Engine{};
  engine.setup = setup;
  engine.status = fresh;
}

// One step, if every rank can begin it.
void FakeGroup::Advance() {
  this->world.queue.After(kGroupStepTime, [this] { this->Advance(); });
  const StepNumber next = this->present_step + 1;
  for (const auto& [rank, engine] : this->engines) {
    const bool held =
        engine.status.hold_step == next && !this->world.Has(Defect::kNoHold);
    if (!engine.status.version || held ||
        engine.stalled_until > this->world.Now()) {
      return;
    }
  }
  this->present_step = next;
  std::vector<std::string> activated;
  for (auto& [rank, engine] : this->engines) {
    if (engine.activation && engine.activation->first <= next) {
      engine.status.version = engine.activation->second;
      engine.status.staged.reset();
      engine.activation.reset();
      activated.push_back(engine.setup.name);
    }
    this->world.seen.steps.push_back({.time = this->world.Now(),
                                      .group = this->name,
                                      .rank = rank,
                                      .step = next,
                                      .map_version = *engine.status.version});
  }
  // Faults strike between two steps.
  for (const std::string& node : activated) {
    this->world.Reach(Moment::kActivated, node);
  }
}

}  // namespace toucanhollow
