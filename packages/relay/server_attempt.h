// ServerAttempt: one attempt to send a request to a server, on one connection.
#ifndef RELAY_SERVER_ATTEMPT_H_
#define RELAY_SERVER_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "relay/held_memory.h"
#include "relay/relay_codec.h"

namespace toucanhollow {

enum class AttemptEnd {
  kComplete,   // the whole response was received
  kNotSent,    // certainly no byte of the request left this host
  kWithheld,   // as kNotSent, because `check_write` did not allow it
  kBroken,     // sent, but no usable response has begun
  kTruncated,  // the response broke off after its head
};

// False if certainly no byte of the request left this host.
constexpr bool WasSent(AttemptEnd end) {
  return end != AttemptEnd::kNotSent && end != AttemptEnd::kWithheld;
}

struct AttemptCallbacks {
  // Returns why the request must not be written any more; empty if it may be.
  // Called just before it is written, and by CheckUnwritten. May be null.
  std::function<std::string_view()> check_write;
  // Called once, when the connection is established and the request has been
  // written to it.
  std::function<void()> on_sent;
  // Called once, before any body.
  std::function<void(const ResponseHead& head,
                     const ResponseMetadata& metadata)>
      on_head;
  std::function<void(const std::string& bytes)> on_body;
  // Called once, as the last callback. `detail` is for logs.
  std::function<void(AttemptEnd end, std::string_view detail)> on_end;
};

// Destroying it resets the connection if it still holds one. It may be
// destroyed inside its callbacks.
class ServerAttempt {
 public:
  // For a whole request with this id. `reused`: the connection has carried
  // another request before. `body_expected`: the response may have a body,
  // which is false for HEAD.
  ServerAttempt(std::unique_ptr<TcpConnection> connection,
                bool reused,
                const RelayCodec& codec,
                std::string bytes,
                std::string request_id,
                bool body_expected,
                AttemptCallbacks callbacks);
  ~ServerAttempt();

  // Adds a body behind the bytes of the request. To be called before Start.
  void SetBody(std::shared_ptr<const std::string> body);
  // Writes the request as soon as the connection is established. If that is
  // after `write_by`, the attempt ends with kNotSent instead. Callbacks may be
  // called inside this call.
  void Start(std::optional<BootTime> write_by);
  // Ends the attempt with kWithheld if its request is not written yet and must
  // not be written any more.
  void CheckUnwritten();

  // True once bytes of the request may have left this host.
  bool any_sent() const;
  void SetReading(bool reading);
  HeldMemory held_memory() const;
  // Reads once what has arrived, without waiting for the event loop. Returns
  // false if there was nothing, or reading is paused.
  bool ReadPending();
  // After kComplete: returns the connection if it can carry another request,
  // else null.
  std::unique_ptr<TcpConnection> TakeConnection();
  // After kComplete: how long the server keeps the connection open; zero if it
  // did not say.
  Duration server_keep_alive_timeout() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // RELAY_SERVER_ATTEMPT_H_
