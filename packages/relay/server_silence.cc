#include "relay/server_silence.h"

#include <utility>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// Older judgements say nothing of the present.
constexpr Duration kMaxAge = Seconds(1);

}  // namespace

ServerSilence::ServerSilence(Ask ask) : ask(std::move(ask)) {}

bool ServerSilence::IsSilent(const ListedServer& server, TimePoint now) {
  Check& check = this->checks[server.id];
  if (now - check.asked_at >= kMaxAge && !check.pending) {
    check.silent = false;
  }
  const bool silent = check.silent;
  if (!check.pending && now - check.asked_at >= kSilenceCheckPeriod) {
    check.pending = true;
    check.asked_at = now;
    this->ask(server, [this, id = server.id,
                       token = std::weak_ptr<int>(this->alive)](bool answers) {
      if (token.expired()) {
        return;
      }
      Check& asked = this->checks[id];
      asked.pending = false;
      if (std::exchange(asked.silent, !answers) == answers) {
        LogJsonNow(answers ? "server_machine_answers" : "server_machine_silent",
                   {{"server", std::string_view(id)}});
      }
    });
  }
  return silent;
}

void ServerSilence::Sweep(TimePoint now) {
  std::erase_if(this->checks, [now](const auto& entry) {
    return !entry.second.pending && now - entry.second.asked_at >= kMaxAge;
  });
}

}  // namespace toucanhollow
