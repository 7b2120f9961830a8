// PermitClient: asks agents for permits to send requests to their servers.
#ifndef PERMIT_PERMIT_CLIENT_H_
#define PERMIT_PERMIT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "datagram/datagram_socket.h"
#include "event_loop/event_loop.h"
#include "metrics/metrics.h"
#include "permit/permit_message.h"
#include "traffic/permit_ledger.h"

namespace toucanhollow {

enum class PermitOutcome { kGranted, kDenied, kNoAnswer };

struct PermitAnswer {
  PermitOutcome outcome = PermitOutcome::kNoAnswer;
  // If granted: the request may be written until then.
  BootTime use_until;
  // If denied: the time until a permit may be available.
  Duration wait{0};

  bool operator==(const PermitAnswer&) const = default;
};

class PermitClient {
 public:
  using Done = std::function<void(const PermitAnswer& answer)>;

  PermitClient(EventLoop& loop, Metrics& metrics);

  // Opens the UDP socket. Fails with kSettingsInvalid.
  Result<bool> Open(const Address& local);

  // Asks for one permit; the client sets the serial number of `request`. `done`
  // is called once, after kPermitAnswerTimeout at the latest, and never inside
  // this call. Returns the number for Cancel.
  std::uint64_t Ask(const Address& agent, PermitRequest request, Done done);
  // Tells the agent that the isolated request of this call has ended.
  void EndIsolation(const Address& agent,
                    std::uint32_t server,
                    std::uint64_t serial);
  // `done` of this call will not be called. A permit that is on its way expires
  // unused.
  void Cancel(std::uint64_t serial);

 private:
  struct Pending {
    Address agent;
    TimePoint asked_at;
    BootTime use_until;
    Done done;
    std::unique_ptr<Timer> timeout;
  };

  void OnDatagram(const Address& from, std::string_view bytes);
  void Finish(std::uint64_t serial, PermitAnswer answer);

  EventLoop& loop;
  Metrics& metrics;
  std::uint64_t next_serial;
  std::map<std::uint64_t, Pending> pending;
  std::unique_ptr<DatagramSocket> socket;
};

}  // namespace toucanhollow

#endif  // PERMIT_PERMIT_CLIENT_H_
