// RelayMemory: the memory budget of a relay, and the bodies that wait for it.
#ifndef RELAY_RELAY_MEMORY_H_
#define RELAY_RELAY_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "event_loop/event_loop.h"
#include "metrics/metrics.h"
#include "overload/body_admission.h"

namespace toucanhollow {

namespace detail {
struct RelayMemoryState;
}  // namespace detail

// Bytes that are held until it is destroyed.
class MemoryHold {
 public:
  // Holds nothing, and never can.
  MemoryHold() = default;
  ~MemoryHold();
  MemoryHold(MemoryHold&& other) noexcept;
  MemoryHold& operator=(MemoryHold&& other) noexcept;

  std::size_t bytes() const { return this->held; }
  // Returns false, and changes nothing, if the budget has no room for more.
  bool Resize(std::size_t bytes);
  // Holds the bytes for another use. Returns false, and changes nothing, if
  // that use has no room for them.
  bool ChangeUse(MemoryUse next);

 private:
  friend class RelayMemory;
  friend struct detail::RelayMemoryState;

  std::shared_ptr<detail::RelayMemoryState> state;
  MemoryUse use = MemoryUse::kConnection;
  std::size_t held = 0;
  TimePoint since;
};

struct BodyAnswer {
  BodyVerdict verdict = BodyVerdict::kRefused;
  MemoryHold hold;            // if it was granted
  Duration expected_wait{0};  // if it was refused
  std::uint64_t ticket = 0;   // if it waits
};

class RelayMemory {
 public:
  // `limit`: bytes that the process may use in all.
  RelayMemory(EventLoop& loop, Metrics& metrics, std::size_t limit);
  ~RelayMemory();

  // Returns a hold of no bytes.
  MemoryHold Open(MemoryUse use) const;

  // Reserves memory for a body. If it waits, `done` is called later from the
  // loop, unless the ticket is withdrawn before.
  BodyAnswer ReserveBody(std::size_t bytes,
                         TimePoint wait_until,
                         TimePoint now,
                         std::function<void(BodyAnswer answer)> done);
  void Withdraw(std::uint64_t ticket);
  // The most bytes that a body of unknown length can have.
  std::size_t max_unannounced_bytes() const;

  // To be called periodically: refuses bodies that have waited for too long.
  void Sweep(TimePoint now);
  void UpdateMetrics() const;

 private:
  std::shared_ptr<detail::RelayMemoryState> state;
};

}  // namespace toucanhollow

#endif  // RELAY_RELAY_MEMORY_H_
