// PromptLoad: callers that send prompts to a model service, on new or on kept
// connections, and check the stream that they get.
#ifndef SOAK_PROMPT_LOAD_H_
#define SOAK_PROMPT_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "event_loop/event_loop.h"
#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "soak/caller_load.h"
#include "soak/check_promises.h"

namespace toucanhollow {

// The time that callers of prompts wait, and the timeout of their routes.
inline constexpr Duration kPromptTimeout = Seconds(3);

struct Prompt {
  // The parts before the last one, each with a comma.
  std::string parts;
  // One that servers bear.
  bool sound = true;
};

struct PromptLoadOptions {
  std::string name;
  std::string target;
  Duration period{0};
  unsigned int seed = 1;
  std::function<Prompt(std::mt19937& random)> draw;
  // The whole answer to a prompt.
  std::function<std::string(const std::string& id)> answer;
  // True if a server that ran the request broke it off.
  std::function<bool(const std::string& id)> broke_off;
  // True if a server has seen the request.
  std::function<bool(const std::string& id)> arrived;
  // Every second prompt goes to a kept connection. Prompts have bodies of up to
  // this size, every second one in chunks; without bodies if 0.
  bool keeps_connections = false;
  std::size_t largest_body = 0;
};

// The body of a prompt of this size.
std::string PromptBody(const std::string& id, std::size_t size);
// `body` reached a server, where `largest` is the largest body that is sent.
void CheckPromptBody(Ledger& ledger,
                     const std::string& id,
                     const std::string& body,
                     std::size_t largest);

class PromptLoad {
 public:
  PromptLoad(EventLoop& loop,
             Ledger& ledger,
             std::vector<HostView> hosts,
             PromptLoadOptions options);
  ~PromptLoad();

  // The fraction of the sound prompts sent in a span that were answered.
  double ServedFraction(TimePoint from, TimePoint to) const;
  // The host that a prompt was sent to.
  const HostView& HostOf(const std::string& id) const;

 private:
  struct Sent;
  // A connection without a request under way.
  struct Kept {
    std::size_t host = 0;
    std::unique_ptr<TcpConnection> connection;
  };

  void SendOne();
  // A connection on which the answer to an earlier prompt was read, or a new
  // one.
  void TakeConnection(Sent& sent);
  // Sends the body, which begins `sent_chunks` chunks in if it is in chunks.
  void SendBody(Sent& sent);
  void Release(Sent& sent);
  void OnData(Sent& sent, std::string_view bytes);
  void OnAnswer(Sent& sent);
  void OnEnd(Sent& sent, std::optional<ConnectionEnd> how);

  EventLoop& loop;
  Ledger& ledger;
  std::vector<HostView> hosts;
  PromptLoadOptions options;
  std::mt19937 random;
  std::map<std::string, std::unique_ptr<Sent>> prompts;  // by id
  std::map<std::uint64_t, Kept> kept;
  std::uint64_t next_id = 1;
  std::uint64_t next_kept = 1;
  Timer timer;
};

}  // namespace toucanhollow

#endif  // SOAK_PROMPT_LOAD_H_
