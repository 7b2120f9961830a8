#include "soak/request_plan.h"

#include <string_view>

namespace toucanhollow {
namespace {

constexpr Duration kTimeout = Seconds(2);
constexpr Duration kStreamTimeout = Seconds(3);
constexpr Duration kSlowTimeout = Seconds(5);
// One request in so many has this form.
constexpr unsigned int kSlowOneIn = 40;
constexpr unsigned int kLeavesOneIn = 40;
constexpr unsigned int kHalfClosesOneIn = 8;
constexpr unsigned int kUnframedOneIn = 10;
constexpr unsigned int kLargeOneIn = 20;
constexpr unsigned int kSlowStreamOneIn = 10;
constexpr unsigned int kHalvedOneIn = 8;
constexpr unsigned int kChunkedOneIn = 4;
constexpr unsigned int kLongPauseOneIn = 8;
constexpr int kShortestWorkMs = 300;
constexpr int kWorkSpreadMs = 2700;
constexpr int kLargeBytes = 150000;
constexpr int kEventPauseSpreadMs = 150;
constexpr int kHalvesSpreadMs = 900;
constexpr int kShortestPauseMs = 5;
constexpr int kPauseSpreadMs = 40;
constexpr int kLongPauseSpreadMs = 1500;

bool OneIn(std::mt19937& random, unsigned int count) {
  return random() % count == 0;
}

std::string_view PathOf(RequestKind kind, bool slow) {
  switch (kind) {
    case RequestKind::kSafe:
      return slow ? "/v/read" : "/s/read";
    case RequestKind::kUnsafe:
      return slow ? "/w/write" : "/u/write";
    case RequestKind::kStream:
      return "/m/draft";
  }
  return "";
}

std::string ToChunk(std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  return std::string{kHex[text.size() / 16], kHex[text.size() % 16]} + "\r\n" +
         std::string(text) + "\r\n";
}

std::string RouteText(const std::string& name,
                      const std::string& prefix,
                      const std::string& kind,
                      Duration timeout) {
  return R"({"name":")" + name + R"(","host":"h","path_prefix":")" + prefix +
         R"(","kind":")" + kind + R"(","timeout_ms":)" +
         std::to_string(timeout / Milliseconds(1)) + R"(,"attempts":)" +
         (kind == "unsafe" ? "1" : "2") +
         (kind == "streaming" ? R"(,"resumable":true)" : "") +
         R"(,"target_latency_ms":300,"priority":1,"service":"ledger"})";
}

}  // namespace

PlannedRequest PlanRequest(std::mt19937& random) {
  constexpr unsigned int kKinds = 3;
  PlannedRequest request;
  request.kind = static_cast<RequestKind>(random() % kKinds);
  const bool stream = request.kind == RequestKind::kStream;
  const bool slow = !stream && OneIn(random, kSlowOneIn);
  request.target = std::string(PathOf(request.kind, slow)) + "?x=%41";
  request.timeout = stream ? kStreamTimeout : slow ? kSlowTimeout : kTimeout;
  if (slow) {
    const auto work = kShortestWorkMs + random() % kWorkSpreadMs;
    request.target += "&work=" + std::to_string(work);
  }
  if (stream && OneIn(random, kSlowStreamOneIn)) {
    const auto pause = random() % kEventPauseSpreadMs;
    request.target += "&pause=" + std::to_string(pause);
  }
  if (!stream && OneIn(random, kUnframedOneIn)) {
    request.target += "&unframed=1";
  }
  if (!stream && OneIn(random, kLargeOneIn)) {
    request.target += "&size=" + std::to_string(kLargeBytes);
  }
  if (request.kind != RequestKind::kSafe) {
    request.form = OneIn(random, kChunkedOneIn) ? BodyForm::kChunked
                                                : BodyForm::kWithLength;
    if (OneIn(random, kHalvedOneIn)) {
      request.second_half_after = Milliseconds(1 + random() % kHalvesSpreadMs);
    }
  }
  request.leaves = OneIn(random, kLeavesOneIn);
  request.half_closes = OneIn(random, kHalfClosesOneIn);
  return request;
}

Duration PlanPause(std::mt19937& random) {
  const int spread =
      OneIn(random, kLongPauseOneIn) ? kLongPauseSpreadMs : kPauseSpreadMs;
  return Milliseconds(kShortestPauseMs + random() % spread);
}

std::string RequestBytes(const std::string& id,
                         const PlannedRequest& request,
                         const std::string& body,
                         bool close) {
  std::string bytes = request.form == BodyForm::kNone ? "GET " : "POST ";
  bytes += request.target +
           " HTTP/1.1\r\nHost: h\r\nX-Toucanhollow-Request-Id: " + id +
           "\r\nX-Toucanhollow-Deadline-Ms: " +
           std::to_string((request.timeout + Seconds(2)) / Milliseconds(1)) +
           "\r\nAuthorization: Token k1\r\n" +
           (close ? "Connection: close\r\n" : "");
  switch (request.form) {
    case BodyForm::kNone:
      return bytes + "\r\n";
    case BodyForm::kWithLength:
      return bytes + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    case BodyForm::kChunked: {
      const std::size_t half = body.size() / 2;
      return bytes + "Transfer-Encoding: chunked\r\n\r\n" +
             ToChunk(body.substr(0, half)) + ToChunk(body.substr(half)) +
             "0\r\n\r\n";
    }
  }
  return bytes;
}

std::string PlannedRoutesText() {
  return RouteText("safe", "/s/", "safe", kTimeout) + "," +
         RouteText("slow-safe", "/v/", "safe", kSlowTimeout) + "," +
         RouteText("unsafe", "/u/", "unsafe", kTimeout) + "," +
         RouteText("slow-unsafe", "/w/", "unsafe", kSlowTimeout) + "," +
         RouteText("stream", "/m/", "streaming", kStreamTimeout);
}

}  // namespace toucanhollow
