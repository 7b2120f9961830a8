#include "standins/platform/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace toucanhollow {
namespace {

constexpr std::size_t kKibibyte = 1024;
// Limits what one client sends in one turn, so that all of them send at once.
constexpr std::size_t kMaxBytesPerTurn = 256 * kKibibyte;

// The rest of the script behind the bytes that were sent, as far as it is in
// one piece.
std::string_view NextPiece(const ClientScript& script, std::size_t sent) {
  if (sent < script.start.size()) {
    return std::string_view(script.start).substr(sent);
  }
  std::size_t at = sent - script.start.size();
  const std::size_t block = script.block == nullptr ? 0 : script.block->size();
  if (at < block * script.repeats) {
    return std::string_view(*script.block).substr(at % block);
  }
  at -= block * script.repeats;
  return std::string_view(script.end).substr(at);
}

std::string FolderOf(pid_t pid) {
  return "/proc/" + std::to_string(pid);
}

// A row of /proc/net/tcp or /proc/net/udp.
struct SocketRow {
  std::string local;  // address and port in hexadecimal digits
  std::string state;
  std::size_t unread = 0;
  std::string inode;
};

std::vector<SocketRow> ReadSocketRows(const std::string& file_name) {
  constexpr int kHexadecimal = 16;
  std::vector<SocketRow> rows;
  std::ifstream file(file_name);
  std::string line;
  std::getline(file, line);
  while (std::getline(file, line)) {
    std::istringstream text(line);
    std::string slot;
    std::string remote;
    std::string queues;
    std::string timer;
    std::string retransmits;
    std::string user;
    std::string timeout;
    SocketRow row;
    if (text >> slot >> row.local >> remote >> row.state >> queues >> timer >>
        retransmits >> user >> timeout >> row.inode) {
      row.unread = std::stoull(queues.substr(queues.find(':') + 1), nullptr,
                               kHexadecimal);
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::set<std::string> SocketInodes(pid_t pid) {
  constexpr std::string_view kPrefix = "socket:[";
  std::set<std::string> inodes;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(FolderOf(pid) + "/fd", error)) {
    const std::string target =
        std::filesystem::read_symlink(entry.path(), error).string();
    if (target.starts_with(kPrefix)) {
      inodes.insert(
          target.substr(kPrefix.size(), target.size() - kPrefix.size() - 1));
    }
  }
  return inodes;
}

}  // namespace

ClientCrowd::~ClientCrowd() {
  this->Leave();
}

void ClientCrowd::Add(const Address& host, ClientScript script) {
  Client client;
  client.script = std::move(script);
  client.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(host.port);
  inet_pton(AF_INET, host.ip.c_str(), &address.sin_addr);
  client.ended =
      connect(client.socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0;
  fcntl(client.socket, F_SETFL, O_NONBLOCK);
  this->clients.push_back(std::move(client));
}

bool ClientCrowd::Send(Client& client) {
  std::size_t sent_now = 0;
  while (sent_now < kMaxBytesPerTurn) {
    const std::string_view piece = NextPiece(client.script, client.sent);
    if (piece.empty()) {
      break;
    }
    const ssize_t count =
        send(client.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (count < 0) {
      client.ended = errno != EAGAIN && errno != EINTR;
      break;
    }
    client.sent += static_cast<std::size_t>(count);
    sent_now += static_cast<std::size_t>(count);
  }
  return sent_now > 0;
}

bool ClientCrowd::Receive(Client& client) {
  static std::array<char, 64 * kKibibyte> buffer;
  const ssize_t count = recv(client.socket, buffer.data(), buffer.size(), 0);
  return count > 0;
}

bool ClientCrowd::Advance() {
  bool moved = false;
  for (Client& client : this->clients) {
    if (!client.ended) {
      moved = Send(client) || moved;
    }
    if (client.script.reads) {
      moved = Receive(client) || moved;
    }
  }
  return moved;
}

void ClientCrowd::Leave() {
  for (const Client& client : this->clients) {
    close(client.socket);
  }
  this->clients.clear();
}

std::size_t UnreadBytes(pid_t pid) {
  constexpr std::string_view kListens = "0A";
  constexpr std::string_view kNoInode = "0";
  const std::set<std::string> inodes = SocketInodes(pid);
  const std::vector<SocketRow> connections = ReadSocketRows("/proc/net/tcp");
  std::set<std::string> listening;
  for (const SocketRow& row : connections) {
    if (row.state == kListens && inodes.contains(row.inode)) {
      listening.insert(row.local);
    }
  }
  std::size_t bytes = 0;
  for (const SocketRow& row : connections) {
    // The queue of a listening socket counts connections.
    const bool counts =
        inodes.contains(row.inode)
            ? row.state != kListens
            : row.inode == kNoInode && listening.contains(row.local);
    bytes += counts ? row.unread : 0;
  }
  for (const SocketRow& row : ReadSocketRows("/proc/net/udp")) {
    bytes += inodes.contains(row.inode) ? row.unread : 0;
  }
  return bytes;
}

std::size_t PeakResidentBytes(pid_t pid) {
  constexpr std::string_view kField = "VmHWM:";
  std::ifstream file(FolderOf(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kField)) {
      return std::stoull(line.substr(kField.size())) * kKibibyte;
    }
  }
  return 0;
}

std::size_t CountDescriptors(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(FolderOf(pid) + "/fd",
                                                    error);
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void RaiseDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace toucanhollow
