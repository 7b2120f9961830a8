// Messages between nodes, with delay, loss, duplication and partitions.
#ifndef SCENARIO_FAKE_NETWORK_H_
#define SCENARIO_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scenario/event_queue.h"
#include "scenario/fault.h"

namespace toucanhollow {

// Data centre name of the platform: the log and the host list.
inline constexpr const char* kPlatform = "platform";

class FakeNetwork {
 public:
  explicit FakeNetwork(EventQueue& queue);

  void AddNode(const std::string& name, const std::string& data_centre);
  const std::string& DataCentreOf(const std::string& node) const;

  // Takes effect at once and ends after fault.duration.
  void Apply(const Fault& fault);

  // True unless a partition separates the nodes now.
  bool Connected(const std::string& from, const std::string& to) const;

  // Calls `deliver` at the receiver's end: never, once, or repeatedly. Messages
  // of one pair stay in order unless a fault delays some of them.
  void Send(const std::string& from,
            const std::string& to,
            std::function<void()> deliver);

 private:
  struct Active {
    Fault fault;
    TimePoint until;
  };
  const Active* Find(FaultKind kind,
                     const std::string& from,
                     const std::string& to) const;

  EventQueue& queue;
  std::map<std::string, std::string> data_centre_of;
  std::vector<Active> active;
  std::map<std::pair<std::string, std::string>, TimePoint> last_delivery;
};

}  // namespace toucanhollow

#endif  // SCENARIO_FAKE_NETWORK_H_
