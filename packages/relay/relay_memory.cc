#include "relay/relay_memory.h"

#include <array>
#include <map>
#include <utility>

namespace toucanhollow {
namespace {

struct UseName {
  MemoryUse use = MemoryUse::kConnection;
  const char* name = "";
};
constexpr std::array<UseName, kMemoryUseCount> kUseNames = {{
    {MemoryUse::kConnection, "use=\"connection\""},
    {MemoryUse::kAnswer, "use=\"answer\""},
    {MemoryUse::kSmallBody, "use=\"small_body\""},
    {MemoryUse::kLargeBody, "use=\"large_body\""},
    {MemoryUse::kIdleBuffer, "use=\"idle_buffer\""},
}};

}  // namespace

namespace detail {

struct RelayMemoryState : std::enable_shared_from_this<RelayMemoryState> {
  struct Waiting {
    std::size_t bytes = 0;
    std::function<void(BodyAnswer answer)> done;
    BodyAnswer answer;
  };

  EventLoop& loop;
  Metrics& metrics;
  BodyAdmission admission;
  std::map<std::uint64_t, Waiting> waiting;
  std::uint64_t next_ticket = 1;
  bool advance_posted = false;

  RelayMemoryState(EventLoop& loop, Metrics& metrics, std::size_t limit)
      : loop(loop), metrics(metrics) {
    this->admission.budget = MakeMemoryBudget(limit);
  }

  // Of bytes that the budget counts already.
  MemoryHold MakeHold(MemoryUse use, std::size_t bytes, TimePoint now);
  void Release(MemoryUse use, std::size_t bytes, Duration held_for);
  void Advance(TimePoint now);
  void PostAnswer(std::uint64_t ticket);
};

MemoryHold RelayMemoryState::MakeHold(MemoryUse use,
                                      std::size_t bytes,
                                      TimePoint now) {
  MemoryHold hold;
  hold.state = this->shared_from_this();
  hold.use = use;
  hold.held = bytes;
  hold.since = now;
  return hold;
}

void RelayMemoryState::Release(MemoryUse use,
                               std::size_t bytes,
                               Duration held_for) {
  this->admission =
      ReleaseBody(std::move(this->admission), use, bytes, held_for);
  if (this->waiting.empty() || this->advance_posted) {
    return;
  }
  Post(this->loop, [weak = this->weak_from_this()] {
    if (const auto state = weak.lock()) {
      state->advance_posted = false;
      state->Advance(EventLoop::Now());
    }
  });
  this->advance_posted = true;
}

void RelayMemoryState::Advance(TimePoint now) {
  AdvanceBodiesDecision decision =
      AdvanceBodies(std::move(this->admission), now);
  this->admission = std::move(decision.admission);
  for (const std::uint64_t ticket : decision.granted) {
    Waiting& entry = this->waiting.at(ticket);
    entry.answer.verdict = BodyVerdict::kGranted;
    entry.answer.hold = this->MakeHold(BodyUse(entry.bytes), entry.bytes, now);
  }
  for (const std::uint64_t ticket : decision.granted) {
    this->PostAnswer(ticket);
  }
  for (const std::uint64_t ticket : decision.refused) {
    this->PostAnswer(ticket);
  }
}

void RelayMemoryState::PostAnswer(std::uint64_t ticket) {
  Post(this->loop, [weak = this->weak_from_this(), ticket] {
    const auto state = weak.lock();
    if (state == nullptr) {
      return;
    }
    auto entry = state->waiting.extract(ticket);
    if (entry.empty()) {
      return;
    }
    Waiting& waiting = entry.mapped();
    waiting.answer.expected_wait =
        ExpectedBodyWait(state->admission, waiting.bytes);
    waiting.done(std::move(waiting.answer));
  });
}

}  // namespace detail

MemoryHold::~MemoryHold() {
  this->Resize(0);
}

MemoryHold::MemoryHold(MemoryHold&& other) noexcept
    : state(std::move(other.state)),
      use(other.use),
      held(std::exchange(other.held, 0)),
      since(other.since) {}

MemoryHold& MemoryHold::operator=(MemoryHold&& other) noexcept {
  std::swap(this->state, other.state);
  std::swap(this->use, other.use);
  std::swap(this->held, other.held);
  std::swap(this->since, other.since);
  return *this;
}

bool MemoryHold::Resize(std::size_t bytes) {
  if (bytes == this->held) {
    return true;
  }
  if (this->state == nullptr) {
    return false;
  }
  if (bytes < this->held) {
    const std::size_t released = this->held - bytes;
    this->held = bytes;
    this->state->Release(this->use, released, EventLoop::Now() - this->since);
    return true;
  }
  MemoryBudget& budget = this->state->admission.budget;
  const std::size_t added = bytes - this->held;
  if (added > FreeBytes(budget, this->use)) {
    return false;
  }
  budget = Hold(budget, this->use, added);
  this->held = bytes;
  return true;
}

bool MemoryHold::ChangeUse(MemoryUse next) {
  if (this->held > 0 && next != this->use) {
    MemoryBudget& budget = this->state->admission.budget;
    const MemoryBudget others = Release(budget, this->use, this->held);
    if (this->held > FreeBytes(others, next)) {
      return false;
    }
    budget = Hold(others, next, this->held);
  }
  this->use = next;
  return true;
}

RelayMemory::RelayMemory(EventLoop& loop, Metrics& metrics, std::size_t limit)
    : state(std::make_shared<detail::RelayMemoryState>(loop, metrics, limit)) {}

RelayMemory::~RelayMemory() = default;

MemoryHold RelayMemory::Open(MemoryUse use) const {
  return this->state->MakeHold(use, 0, EventLoop::Now());
}

BodyAnswer RelayMemory::ReserveBody(
    std::size_t bytes,
    TimePoint wait_until,
    TimePoint now,
    std::function<void(BodyAnswer answer)> done) {
  detail::RelayMemoryState& state = *this->state;
  const std::uint64_t ticket = state.next_ticket++;
  AdmitBodyDecision decision =
      AdmitBody(std::move(state.admission), {ticket, bytes, wait_until}, now);
  state.admission = std::move(decision.admission);
  BodyAnswer answer;
  answer.verdict = decision.verdict;
  switch (decision.verdict) {
    case BodyVerdict::kGranted:
      answer.hold = state.MakeHold(BodyUse(bytes), bytes, now);
      break;
    case BodyVerdict::kRefused:
      answer.expected_wait = ExpectedBodyWait(state.admission, bytes);
      break;
    case BodyVerdict::kWaits:
      answer.ticket = ticket;
      state.waiting[ticket] = {bytes, std::move(done), {}};
      state.metrics.Count("body_waits_total");
      break;
  }
  return answer;
}

void RelayMemory::Withdraw(std::uint64_t ticket) {
  detail::RelayMemoryState& state = *this->state;
  // Destroying the entry may release its hold.
  const auto withdrawn = state.waiting.extract(ticket);
  if (!withdrawn.empty()) {
    state.admission = WithdrawBody(std::move(state.admission), ticket);
  }
}

std::size_t RelayMemory::max_unannounced_bytes() const {
  // All of it would only be free while nothing else is held.
  return MaxBytes(this->state->admission.budget, MemoryUse::kLargeBody) / 2;
}

void RelayMemory::Sweep(TimePoint now) {
  if (!this->state->waiting.empty()) {
    this->state->Advance(now);
  }
}

void RelayMemory::UpdateMetrics() const {
  const BodyAdmission& admission = this->state->admission;
  Metrics& metrics = this->state->metrics;
  metrics.SetGauge("memory_budget_bytes",
                   static_cast<double>(admission.budget.capacity));
  for (const UseName& entry : kUseNames) {
    metrics.SetGauge("memory_held_bytes",
                     static_cast<double>(admission.budget.held.at(
                         static_cast<std::size_t>(entry.use))),
                     entry.name);
  }
  metrics.SetGauge("waiting_bodies",
                   static_cast<double>(this->state->waiting.size()));
}

}  // namespace toucanhollow
