#include "scenario/fake_network.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// One-way delays of the users' sites (docs/design.md, section 1.2).
constexpr Duration kDelayInside{100};
constexpr Duration kDelayBetween{1000};
constexpr Duration kJitter{50};
// A doubled message comes again while the first copy is worked on, and again
// after its receiver may have been replaced.
constexpr Duration kSoonAgain = Milliseconds(20);
constexpr Duration kLateAgain = Seconds(4);

}  // namespace

FakeNetwork::FakeNetwork(EventQueue& queue) : queue(queue) {
  this->AddNode(kPlatform, kPlatform);
}

void FakeNetwork::AddNode(const std::string& name,
                          const std::string& data_centre) {
  this->data_centre_of[name] = data_centre;
}

const std::string& FakeNetwork::DataCentreOf(const std::string& node) const {
  return this->data_centre_of.at(node);
}

void FakeNetwork::Apply(const Fault& fault) {
  this->active.push_back({fault, this->queue.Now() + fault.duration});
}

const FakeNetwork::Active* FakeNetwork::Find(FaultKind kind,
                                             const std::string& from,
                                             const std::string& to) const {
  const auto found =
      std::ranges::find_if(this->active, [&](const Active& entry) {
        return entry.fault.kind == kind && entry.until > this->queue.Now() &&
               entry.fault.target == from && entry.fault.peer == to;
      });
  return found == this->active.end() ? nullptr : &*found;
}

bool FakeNetwork::Connected(const std::string& from,
                            const std::string& to) const {
  const std::string& a = this->DataCentreOf(from);
  const std::string& b = this->DataCentreOf(to);
  if (a == b) {
    return true;
  }
  if (a == kPlatform || b == kPlatform) {
    const std::string& other = a == kPlatform ? b : a;
    return this->Find(FaultKind::kCutFromPlatform, other, "") == nullptr;
  }
  return this->Find(FaultKind::kCutDataCentres, a, b) == nullptr &&
         this->Find(FaultKind::kCutDataCentres, b, a) == nullptr;
}

void FakeNetwork::Send(const std::string& from,
                       const std::string& to,
                       std::function<void()> deliver) {
  if (!this->Connected(from, to) ||
      this->Find(FaultKind::kLostMessages, from, to) != nullptr) {
    return;
  }
  const bool inside = this->DataCentreOf(from) == this->DataCentreOf(to);
  const Duration delay = (inside ? kDelayInside : kDelayBetween) +
                         this->queue.DrawDuration(Duration{0}, kJitter);
  TimePoint arrival = this->queue.Now() + delay;
  if (const Active* late = this->Find(FaultKind::kLateMessages, from, to)) {
    arrival += late->fault.delay;
  } else {
    TimePoint& last = this->last_delivery[{from, to}];
    arrival = std::max(arrival, last + Duration{1});
    last = arrival;
  }
  if (this->Find(FaultKind::kDoubledMessages, from, to) != nullptr) {
    const Duration first = arrival - this->queue.Now();
    this->queue.After(first + this->queue.DrawDuration(Duration{1}, kSoonAgain),
                      deliver);
    this->queue.After(
        first + this->queue.DrawDuration(kLateAgain / 2, kLateAgain), deliver);
  }
  this->queue.After(arrival - this->queue.Now(), std::move(deliver));
}

}  // namespace toucanhollow
