// ClientCrowd: many clients that send what no sound client sends, and what a
// process holds meanwhile.
#ifndef STANDINS_PLATFORM_CLIENT_CROWD_H_
#define STANDINS_PLATFORM_CLIENT_CROWD_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"

namespace toucanhollow {

// What one client sends on its connection, which it then leaves open.
struct ClientScript {
  std::string start;
  // Sent again and again after `start`, `repeats` times.
  std::shared_ptr<const std::string> block;
  std::size_t repeats = 0;
  std::string end;
  // Whether it reads what is sent to it.
  bool reads = true;
};

// Clients with non-blocking sockets, which send as fast as the peer reads.
class ClientCrowd {
 public:
  ClientCrowd() = default;
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  void Add(const Address& host, ClientScript script);
  // Sends and reads what the kernel allows now. Returns whether a byte moved.
  bool Advance();
  // Closes all connections.
  void Leave();

 private:
  struct Client {
    int socket = -1;
    ClientScript script;
    std::size_t sent = 0;
    bool ended = false;
  };

  static bool Send(Client& client);
  static bool Receive(Client& client);

  std::vector<Client> clients;
};

// Bytes that the kernel holds for a process and the process has not read, of
// its TCP connections, of those that it has not accepted yet at its addresses,
// and of its datagrams.
std::size_t UnreadBytes(pid_t pid);

// Largest resident memory of a process so far, 0 if it is gone.
std::size_t PeakResidentBytes(pid_t pid);

std::size_t CountDescriptors(pid_t pid);

// Raises the limit on descriptors of the calling process to the largest that it
// may have.
void RaiseDescriptorLimit();

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_CLIENT_CROWD_H_
