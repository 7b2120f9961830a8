#include "relay/server_connection_pool.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace toucanhollow {
namespace {

// A connection is left unused this long before the server may close it: one
// second covers the whole seconds of the stated time and the way there.
constexpr Duration kKeepMargin = Milliseconds(1000);
constexpr std::size_t kMaxKept = 8;

}  // namespace

ServerPool::ServerPool(ListedServer server)
    : listed(std::move(server)),
      key(static_cast<std::uint32_t>(HashText(this->listed.id))) {}

std::unique_ptr<TcpConnection> ServerPool::TakeKept(TimePoint now) {
  while (!this->kept.empty()) {
    Kept newest = std::move(this->kept.back());
    this->kept.pop_back();
    if (now < newest.use_until) {
      return std::move(newest.connection);
    }
  }
  return nullptr;
}

void ServerPool::Keep(std::unique_ptr<TcpConnection> connection,
                      Duration server_timeout,
                      TimePoint now) {
  std::erase_if(this->kept,
                [now](const Kept& entry) { return now >= entry.use_until; });
  const TimePoint use_until = now + server_timeout - kKeepMargin;
  if (use_until <= now || this->kept.size() >= kMaxKept) {
    return;
  }
  TcpConnection* raw = connection.get();
  // Bytes on an idle connection belong to no request.
  const auto drop = [this, raw] {
    std::erase_if(this->kept, [raw](const Kept& entry) {
      return entry.connection.get() == raw;
    });
  };
  connection->SetCallbacks({nullptr, [drop](std::string_view) { drop(); },
                            nullptr, [drop](ConnectionEnd) { drop(); }});
  this->kept.push_back({std::move(connection), use_until});
}

void ServerPool::CloseKept() {
  this->kept.clear();
}

}  // namespace toucanhollow
