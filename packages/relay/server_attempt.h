// ServerAttempt: one request on one connection to one server.
#ifndef RELAY_SERVER_ATTEMPT_H_
#define RELAY_SERVER_ATTEMPT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "relay/relay_codec.h"

namespace toucanhollow {

enum class AttemptEnd {
  kComplete,   // the whole answer has come
  kNotSent,    // certainly no byte of the request left this host
  kBroken,     // sent, and no usable answer has begun
  kTruncated,  // the answer broke off after its header
};

struct AttemptCallbacks {
  // Called once, before any body.
  std::function<void(const ResponseHead& head, const ResponseFacts& facts)>
      on_head;
  std::function<void(const std::string& bytes)> on_body;
  // Called once, last. `detail` is for logs.
  std::function<void(AttemptEnd end, std::string_view detail)> on_end;
};

// Destroying it closes the connection unless the answer was complete. It may
// be destroyed inside its callbacks.
class ServerAttempt {
 public:
  // Sends `bytes`, a whole request with this id. `reused`: the connection has
  // carried another request before. `body_expected` is false for HEAD.
  ServerAttempt(std::unique_ptr<TcpConnection> connection,
                bool reused,
                const RelayCodec& codec,
                const std::string& bytes,
                std::string request_id,
                bool body_expected,
                AttemptCallbacks callbacks);
  ~ServerAttempt();

  // True once bytes of the request may have left this host.
  bool any_sent() const;
  void SetReading(bool reading);
  // After kComplete: the connection if it can carry another request, else
  // null, and how long the server keeps it open.
  std::unique_ptr<TcpConnection> TakeConnection();
  Duration server_keep_time() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // RELAY_SERVER_ATTEMPT_H_
