#include "standins/log/log_stand_in.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "platform_log/log_codec.h"

namespace toucanhollow {
namespace {

constexpr Duration kTick = Milliseconds(10);
constexpr std::size_t kMaxReadBytes = std::size_t{1024} * 1024;
constexpr std::int64_t kMaxWaitMs = 60'000;

std::int64_t NumberOf(const HttpRequest& request,
                      std::string_view name,
                      std::int64_t otherwise) {
  const auto text = QueryValue(request.query, name);
  return text ? ParseDecimal(*text).value_or(otherwise) : otherwise;
}

std::string Refusal(std::string_view reason) {
  return std::string(kNotAppended) + ": " + std::string(reason) + "\n";
}

}  // namespace

LogStandIn::LogStandIn(EventLoop& loop, LogStandInOptions options)
    : loop(loop),
      options(options),
      append_tokens(options.appends_per_s),
      tokens_at(EventLoop::Now()),
      tick(std::make_unique<Timer>(loop, kTick, kTick, [this] {
        this->AnswerWaiting();
      })) {}

LogStatus LogStandIn::StatusOf(const Stream& stream) const {
  return {stream.first_offset,
          stream.first_offset + static_cast<LogOffset>(stream.entries.size()),
          this->options.retention};
}

void LogStandIn::ApplyRetention(Stream& stream) const {
  const WallTime oldest = EventLoop::WallNow() - this->options.retention;
  while (!stream.entries.empty() &&
         (stream.entries.front().time < oldest ||
          stream.entries.size() > this->options.retained_entries)) {
    stream.entries.pop_front();
    ++stream.first_offset;
  }
}

bool LogStandIn::TakeAppendToken() {
  const TimePoint now = EventLoop::Now();
  const double elapsed_s = ToMilliseconds(now - this->tokens_at) / 1000.0;
  this->tokens_at = now;
  this->append_tokens =
      std::min(this->options.appends_per_s,
               this->append_tokens + elapsed_s * this->options.appends_per_s);
  if (this->append_tokens < 1.0) {
    ++this->refused_by_rate;
    return false;
  }
  this->append_tokens -= 1.0;
  return true;
}

void LogStandIn::Answer(const std::shared_ptr<HttpResponseWriter>& writer,
                        int status,
                        const std::string& body) {
  if (EventLoop::Now() >= this->slow_until) {
    writer->Respond(status, {}, body);
    return;
  }
  const std::uint64_t id = this->next_delayed_id++;
  this->delayed[id] = std::make_unique<Timer>(
      this->loop, this->delay, Duration(0), [this, id, writer, status, body] {
        writer->Respond(status, {}, body);
        this->delayed.erase(id);
      });
}

void LogStandIn::Append(const std::string& name,
                        const HttpRequest& request,
                        const std::shared_ptr<HttpResponseWriter>& writer) {
  auto payloads = DecodePayloads(request.body);
  if (!payloads.has_value() || payloads->empty()) {
    this->Answer(writer, 400, Refusal("the payloads cannot be read"));
    return;
  }
  if (!this->TakeAppendToken()) {
    this->Answer(writer, 429, Refusal("append rate exceeded"));
    return;
  }
  Stream& stream = this->streams[name];
  const std::string id = QueryValue(request.query, "append_id").value_or("");
  LogOffset first = this->StatusOf(stream).next_offset;
  const auto used = stream.append_ids.find(id);
  if (used != stream.append_ids.end()) {
    first = used->second;
  } else {
    ++stream.appends;
    const WallTime now = EventLoop::WallNow();
    for (std::string& payload : *payloads) {
      ++stream.appended_entries;
      stream.appended_bytes += payload.size();
      stream.entries.push_back(
          {this->StatusOf(stream).next_offset, now, std::move(payload)});
    }
    if (this->options.dedupe_appends && !id.empty()) {
      stream.append_ids.emplace(id, first);
    }
  }
  LogBatch answer;
  answer.status = this->StatusOf(stream);
  answer.status.first_offset = first;
  this->ApplyRetention(stream);
  if (this->acks_to_lose > 0) {
    --this->acks_to_lose;
    writer->Abort();
  } else {
    this->Answer(writer, 200, EncodeBatch(answer));
  }
  this->AnswerWaiting();
}

bool LogStandIn::TryAnswerRead(const WaitingRead& read, bool answer_empty) {
  Stream& stream = this->streams[read.stream];
  this->ApplyRetention(stream);
  LogBatch batch;
  batch.status = this->StatusOf(stream);
  if (read.from < batch.status.first_offset) {
    this->Answer(read.writer, 410, EncodeBatch(batch));
    return true;
  }
  if (read.from >= batch.status.next_offset && !answer_empty) {
    return false;
  }
  std::size_t bytes = 0;
  for (LogOffset offset = read.from;
       offset < batch.status.next_offset && batch.entries.size() < read.limit &&
       bytes < kMaxReadBytes;
       ++offset) {
    const LogEntry& entry = stream.entries[static_cast<std::size_t>(
        offset - batch.status.first_offset)];
    bytes += entry.payload.size();
    batch.entries.push_back(entry);
  }
  this->Answer(read.writer, 200, EncodeBatch(batch));
  return true;
}

void LogStandIn::AnswerWaiting() {
  const TimePoint now = EventLoop::Now();
  // In an outage, readers wait on, as an unreachable log leaves them.
  if (now >= this->outage_until) {
    this->silenced.clear();
    std::erase_if(this->waiting, [&](const WaitingRead& read) {
      return read.writer->HasCallerDisconnected() ||
             this->TryAnswerRead(read, now >= read.deadline);
    });
  }
}

void LogStandIn::Read(const std::string& name,
                      const HttpRequest& request,
                      const std::shared_ptr<HttpResponseWriter>& writer) {
  ++this->streams[name].reads;
  WaitingRead read;
  read.stream = name;
  read.from = std::max<LogOffset>(1, NumberOf(request, "from", 1));
  read.limit = static_cast<std::size_t>(
      std::clamp<std::int64_t>(NumberOf(request, "limit", 1000), 1, 10'000));
  const std::int64_t wait_ms =
      std::clamp<std::int64_t>(NumberOf(request, "wait_ms", 0), 0, kMaxWaitMs);
  read.deadline = EventLoop::Now() + Milliseconds(wait_ms);
  read.writer = writer;
  if (!this->TryAnswerRead(read, wait_ms == 0)) {
    this->waiting.push_back(std::move(read));
  }
}

std::string LogStandIn::FormatStats() const {
  std::string text;
  const auto add = [&text](std::string_view stream, std::string_view name,
                           std::uint64_t value) {
    text.append(stream).append(name).append(" ");
    text.append(std::to_string(value)).append("\n");
  };
  add("", "refused_by_rate", this->refused_by_rate);
  add("", "waiting_reads", this->waiting.size());
  for (const auto& [name, stream] : this->streams) {
    add(name, ".appends", stream.appends);
    add(name, ".entries", stream.appended_entries);
    add(name, ".bytes", stream.appended_bytes);
    add(name, ".reads", stream.reads);
  }
  return text;
}

void LogStandIn::HandleControl(const HttpRequest& request,
                               HttpResponseWriter& writer) {
  const TimePoint now = EventLoop::Now();
  const Duration length = Milliseconds(NumberOf(request, "ms", 0));
  if (request.path == "/control/outage") {
    this->outage_until = now + length;
    this->silent_outage = QueryValue(request.query, "mode") == "silent";
  } else if (request.path == "/control/slow") {
    this->slow_until = now + length;
    this->delay = Milliseconds(NumberOf(request, "delay_ms", 0));
  } else if (request.path == "/control/lose_acks") {
    this->acks_to_lose = NumberOf(request, "count", 0);
  } else if (request.path == "/control/drop") {
    Stream& stream =
        this->streams[QueryValue(request.query, "stream").value_or("")];
    const LogOffset before = NumberOf(request, "before", 0);
    while (!stream.entries.empty() && stream.first_offset < before) {
      stream.entries.pop_front();
      ++stream.first_offset;
    }
  } else if (request.path != "/control/stats") {
    writer.Respond(404, {}, "unknown control path\n");
    return;
  }
  writer.Respond(200, {}, this->FormatStats());
}

void LogStandIn::HandleStream(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  constexpr std::string_view kPrefix = "/streams/";
  const std::size_t slash = request.path.rfind('/');
  const std::string name = request.path.substr(
      kPrefix.size(), slash < kPrefix.size() ? 0 : slash - kPrefix.size());
  const std::string_view leaf = std::string_view(request.path).substr(slash);
  if (!name.empty() && leaf == "/status" && request.method == "GET") {
    Stream& stream = this->streams[name];
    this->ApplyRetention(stream);
    this->Answer(writer, 200, EncodeBatch({this->StatusOf(stream), {}}));
  } else if (!name.empty() && leaf == "/entries" && request.method == "GET") {
    this->Read(name, request, writer);
  } else if (!name.empty() && leaf == "/entries" && request.method == "POST") {
    this->Append(name, request, writer);
  } else {
    writer->Respond(404, {}, Refusal("unknown path"));
  }
}

void LogStandIn::Handle(const HttpRequest& request,
                        const std::shared_ptr<HttpResponseWriter>& writer) {
  if (request.path.starts_with("/control/")) {
    this->HandleControl(request, *writer);
  } else if (EventLoop::Now() < this->outage_until) {
    if (this->silent_outage) {
      this->silenced.push_back(writer);
    } else {
      writer->Respond(503, {}, Refusal("outage"));
    }
  } else if (request.path.starts_with("/streams/")) {
    this->HandleStream(request, writer);
  } else {
    writer->Respond(404, {}, Refusal("unknown path"));
  }
}

}  // namespace toucanhollow
