// Non-blocking TCP connections and listeners on the event loop.
#ifndef HTTP_STREAM_TCP_CONNECTION_H_
#define HTTP_STREAM_TCP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"
#include "event_loop/event_loop.h"

namespace toucanhollow {

enum class ConnectionEnd {
  kOrderly,       // the peer closed its sending side
  kReset,         // the peer reset the connection, or a write failed
  kNotConnected,  // the connection could not be established
};

// What a peer did that its connection shows while reading is paused.
enum class PeerState {
  kSends,       // it may send more
  kInputEnded,  // it has shut its sending side down, or closed
  kReset,       // it has reset the connection
};

struct ConnectionCallbacks {
  std::function<void()> on_connected;
  std::function<void(std::string_view bytes)> on_data;
  // Called when all bytes passed to Write have been handed to the kernel.
  std::function<void()> on_drained;
  // Called once, as the last callback.
  std::function<void(ConnectionEnd end)> on_end;
  // Called when the peer has shut its sending side down, or closed. If it
  // returns true, the connection stays open for writing, and its end is noticed
  // by a write that fails. Without it, or if it returns false, the connection
  // ends with kOrderly.
  std::function<bool()> on_input_end = nullptr;
};

// May be destroyed inside its own callbacks. The destructor closes the socket.
class TcpConnection {
 public:
  // Takes ownership of a socket that was accepted. What its peer sends is read
  // before what arrives on other connections in the same turn of the loop.
  TcpConnection(EventLoop& loop, int socket);
  // Starts to connect. A failure is reported later through on_end, never inside
  // the constructor. `receive_bytes`, if it is not 0, is as for
  // LimitReceiveBuffer and holds from the first byte on.
  TcpConnection(EventLoop& loop,
                const Address& address,
                std::size_t receive_bytes = 0);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetCallbacks(ConnectionCallbacks callbacks);
  // Makes the destructor reset the connection (SO_LINGER with timeout 0). Bytes
  // that the peer has not acknowledged are then discarded; an orderly close
  // would still deliver them.
  void ResetOnClose();
  // Sends as many bytes as the kernel accepts now and queues the others.
  void Write(std::string_view bytes);
  // Keeps the bytes until they have been sent.
  void Write(std::shared_ptr<const std::string> bytes);
  // Shuts the sending side down once all queued bytes have been sent. The peer
  // then reads the end of the stream after them. Nothing may be written after
  // this call.
  void FinishWriting();
  // Reads once and delivers what has arrived, or the end of the connection,
  // without waiting for the event loop. Returns false if there was nothing, or
  // reading is paused.
  bool ReadPending();
  // Returns the number of queued bytes that the kernel has not accepted yet.
  std::size_t unsent() const;
  // Returns the number of received bytes that have not been read.
  std::size_t unread() const;
  // Asks the kernel, whether or not there are unread bytes.
  PeerState peer_state() const;
  // Returns false as long as no byte passed to Write can have left this host.
  bool any_sent() const;
  bool connected() const;
  // Bounds the bytes that the kernel holds for one direction, which it
  // otherwise raises to several MB on fast connections. Its bookkeeping takes
  // about as much again, and unread bytes may fill that part too. A peer may
  // still send what it was allowed to send before the bound was lowered.
  void LimitReceiveBuffer(std::size_t bytes);
  void LimitSendBuffer(std::size_t bytes);
  // Pauses or resumes reading. While reading is paused, TCP flow control slows
  // the peer down.
  void SetReading(bool reading);
  // Bounds the bytes that one read delivers, at least 1.
  void LimitReads(std::size_t bytes);

 private:
  struct State;
  std::shared_ptr<State> state;
};

// Opens a listening socket, which the caller closes. `receive_bytes`, if it is
// not 0, is as for TcpConnection's LimitReceiveBuffer and holds for each
// connection from its first byte on. At most `backlog` connections, and one
// more, wait to be accepted. Fails with kSettingsInvalid if the address cannot
// be bound.
Result<int> OpenListeningSocket(const Address& address,
                                int backlog,
                                std::size_t receive_bytes);

class TcpListener {
 public:
  // Fails with kSettingsInvalid if the address cannot be bound.
  // `receive_bytes`, if it is not 0, is as for TcpConnection's
  // LimitReceiveBuffer and holds for each connection from its first byte on.
  static Result<std::unique_ptr<TcpListener>> Listen(
      EventLoop& loop,
      const Address& address,
      std::function<void(int socket)> on_accept,
      std::size_t receive_bytes = 0);
  ~TcpListener();
  std::uint16_t Port() const;
  // Makes the kernel ignore new connections, which then find no listener or the
  // next one when they are tried again. Connections that are being established
  // are still accepted. Has no effect where the kernel does not support it.
  void RefuseNewConnections();
  // Accepts the connections that are in the backlog now.
  void AcceptAllPending();

 private:
  explicit TcpListener(EventLoop& loop) : loop(loop) {}
  // Accepts at most `max_count` connections from the backlog.
  void AcceptUpTo(int max_count);
  // Leaves the connections in the backlog for a short time.
  void Pause();

  EventLoop& loop;
  int socket = -1;
  std::function<void(int socket)> on_accept;
  std::unique_ptr<IoWatcher> watcher;
  std::unique_ptr<Timer> resume_timer;
};

}  // namespace toucanhollow

#endif  // HTTP_STREAM_TCP_CONNECTION_H_
