// Requests with large bodies, and the metrics of the host that gets them.
#ifndef STANDINS_PLATFORM_LARGE_BODY_H_
#define STANDINS_PLATFORM_LARGE_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "standins/platform/relay_site.h"

namespace toucanhollow {

inline std::string LargeBodyConfig() {
  std::string text = ConfigText(2, "\"k1\"");
  const std::pair<std::string, std::string> changes[] = {
      {R"("max_body_bytes":1000)", R"("max_body_bytes":4194304)"},
      {R"("max_header_bytes":4096)", R"("max_header_bytes":16384)"},
      {R"("max_conns":96)", R"("max_conns":4000)"},
      {R"("timeout_ms":800)", R"("timeout_ms":8000)"},
      {R"("header_timeout_ms":300)", R"("header_timeout_ms":3000)"}};
  for (const auto& [from, to] : changes) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
      text.replace(at, from.size(), to);
    }
  }
  return text;
}

inline std::string Head(const std::string& id, const std::string& framing) {
  std::string head = Request("POST", "/u/x", id, framing);
  return head.replace(head.find("1500"), 4, "6000");
}

inline std::string LengthHead(const std::string& id, std::size_t bytes) {
  return Head(id, "Content-Length: " + std::to_string(bytes) + "\r\n");
}

inline ScriptedAnswer DelayedAnswer(Duration delay) {
  ScriptedAnswer answer = SealedAnswer("ok");
  answer.later = std::exchange(answer.bytes, "");
  answer.delay = delay;
  return answer;
}

inline bool Ended(const Caller& caller) {
  return caller.parser.done() || caller.ended;
}

inline bool IsEnded(const std::unique_ptr<Caller>& caller) {
  return Ended(*caller);
}

inline int Status(const Caller& caller) {
  return caller.parser.done() ? caller.parser.head().status : 0;
}

inline bool HasRetryAfter(const Caller& caller) {
  return !FindHeader(caller.parser.head().headers, "Retry-After").empty();
}

// A value of the metrics of a host, or -1.
inline double Metric(Site& site, const std::string& name) {
  Caller caller(site.loop,
                {site.settings.control.ip, site.settings.metrics_port});
  caller.connection->Write(
      "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  site.RunUntil([&] { return Ended(caller); });
  const std::string text = "\n" + caller.parser.TakeBody();
  const std::size_t at = text.find("\ntoucanhollow_" + name + " ");
  return at == std::string::npos
             ? -1
             : std::stod(text.substr(at + name.size() + 15));
}

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_LARGE_BODY_H_
