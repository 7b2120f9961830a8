#include "relay/server_connection_pool.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace toucanhollow {
namespace {

// A connection is no longer used this long before the server may close it. One
// second covers the network delay and the rounding of the stated time-out to
// whole seconds.
constexpr Duration kIdleExpiryMargin = Milliseconds(1000);
constexpr std::size_t kMaxIdleConnections = 8;

}  // namespace

ServerConnectionPool::ServerConnectionPool(ListedServer server)
    : listed(std::move(server)),
      key(static_cast<std::uint32_t>(HashText(this->listed.id))) {}

std::unique_ptr<TcpConnection> ServerConnectionPool::TakeIdle(TimePoint now) {
  while (!this->idle.empty()) {
    IdleConnection newest = std::move(this->idle.back());
    this->idle.pop_back();
    // The server may have closed it, or sent bytes that belong to no request,
    // which the loop has not delivered yet.
    if (now < newest.usable_until && !newest.connection->ReadPending()) {
      return std::move(newest.connection);
    }
  }
  return nullptr;
}

void ServerConnectionPool::AddIdle(std::unique_ptr<TcpConnection> connection,
                                   Duration server_timeout,
                                   TimePoint now) {
  std::erase_if(this->idle, [now](const IdleConnection& entry) {
    return now >= entry.usable_until;
  });
  const TimePoint usable_until = now + server_timeout - kIdleExpiryMargin;
  if (usable_until <= now || this->idle.size() >= kMaxIdleConnections) {
    return;
  }
  TcpConnection* raw = connection.get();
  // Bytes on an idle connection belong to no request, so they end it as well.
  const auto drop = [this, raw] {
    std::erase_if(this->idle, [raw](const IdleConnection& entry) {
      return entry.connection.get() == raw;
    });
  };
  connection->SetCallbacks({nullptr, [drop](std::string_view) { drop(); },
                            nullptr, [drop](ConnectionEnd) { drop(); }});
  this->idle.push_back({std::move(connection), usable_until});
}

void ServerConnectionPool::CloseIdle() {
  this->idle.clear();
}

}  // namespace toucanhollow
