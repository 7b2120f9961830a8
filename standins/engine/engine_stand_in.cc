#include "standins/engine/engine_stand_in.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "standins/engine/token_text.h"

namespace toucanhollow {
namespace {

// Fetching staged weights slows the steps by this factor.
constexpr double kStagingStepFactor = 1.1;
constexpr std::size_t kMaxRecords = 1'000'000;

void Refuse(HttpResponseWriter& writer,
            int status,
            const std::string& reason,
            bool not_run) {
  writer.Respond(status, {{"Content-Type", "application/json"}},
                 EncodeEngineError({reason, not_run}));
}

std::int64_t NumberOf(const HttpRequest& request,
                      std::string_view name,
                      std::int64_t otherwise) {
  const auto text = QueryValue(request.query, name);
  return text ? ParseDecimal(*text).value_or(otherwise) : otherwise;
}

void AppendLine(std::string& text, std::string_view name, std::int64_t value) {
  text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace

EngineStandIn::EngineStandIn(EventLoop& loop, EngineStandInOptions options)
    : loop(loop),
      options(std::move(options)),
      model(this->options.model),
      cache(this->options.cache),
      expert_tokens(static_cast<std::size_t>(this->options.experts)) {
  this->incarnation = static_cast<std::uint64_t>(
      EventLoop::WallNow().time_since_epoch().count());
  this->busy = this->options.starts_warm ? WarmBusyTime(this->options.warmth)
                                         : Duration(0);
  this->last_step_at = EventLoop::Now();
  this->last_step_time = this->options.step_time;
  this->map.checks_fence = this->options.checks_fence;
  this->map.version = this->options.map_version;
  if (this->map.version >= 0) {
    this->map.uses.push_back({0, this->map.version});
  }
  this->UpdateStatus();
  this->step_timer = std::make_unique<Timer>(
      loop, this->options.step_time, Duration(0), [this] { this->Step(); });
  this->status_timer = std::make_unique<Timer>(
      loop, this->options.status_lag, this->options.status_lag,
      [this] { this->UpdateStatus(); });
}

std::int64_t EngineStandIn::Running() const {
  return std::ranges::count_if(
      this->streams, [](const auto& entry) { return entry.second.running; });
}

std::int64_t EngineStandIn::Concurrent() const {
  return this->Running() + static_cast<std::int64_t>(this->queue.size());
}

void EngineStandIn::UpdateStatus() {
  EngineStatus status;
  status.incarnation = this->incarnation;
  status.model = this->model;
  status.running = this->Running();
  status.queued = static_cast<std::int64_t>(this->queue.size());
  status.step = this->map.step;
  status.step_time = this->last_step_time;
  status.map_version = this->map.version;
  status.staged_change =
      IsStaged(this->map, EventLoop::Now()) ? this->map.change : "";
  status.hold_step = this->map.hold_step;
  for (const double tokens : this->expert_tokens) {
    status.expert_tokens.push_back(static_cast<std::int64_t>(tokens));
  }
  this->reported = std::move(status);
}

void EngineStandIn::FallOver(const std::string& cause) {
  ++this->fall_overs;
  for (auto& [id, stream] : this->streams) {
    if (!stream.ended) {
      this->records.at(stream.record).end = cause;
      this->records.at(stream.record).tokens = stream.next_index;
    }
    if (stream.writer != nullptr) {
      stream.writer->Abort();
    }
  }
  this->streams.clear();
  this->queue.clear();
  this->cache.Clear();
  ++this->incarnation;
  this->busy = Duration(0);
  this->restarted_at = EventLoop::Now() + this->options.restart_time;
  MapState fresh;
  fresh.checks_fence = this->map.checks_fence;
  fresh.version = this->options.loses_map ? -1 : this->map.version;
  fresh.step = this->map.step;
  fresh.uses = std::move(this->map.uses);
  this->map = std::move(fresh);
  std::ranges::fill(this->expert_tokens, 0.0);
}

void EngineStandIn::Complete(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  const TimePoint now = EventLoop::Now();
  auto decoded = DecodeEngineRequest(request.body);
  if (!decoded.has_value() || decoded->id.empty()) {
    Refuse(*writer, 400, "the request cannot be read", true);
  } else if (now < this->restarted_at || this->map.version < 0) {
    Refuse(*writer, 503, "the engine is starting", true);
  } else if (decoded->model != this->model) {
    Refuse(*writer, 404, "the model is not loaded", true);
  } else if (this->streams.contains(decoded->id)) {
    Refuse(*writer, 409, "the stream exists", true);
  } else {
    const std::int64_t concurrent = this->Concurrent() + 1;
    const std::int64_t bearable =
        BearableRequests(this->options.warmth, this->busy);
    this->peak_concurrent = std::max(this->peak_concurrent, concurrent);
    this->peak_excess = std::max(this->peak_excess, concurrent - bearable);
    if (concurrent > bearable) {
      this->FallOver("fell_over");
      Refuse(*writer, 500, "the engine fell over", false);
      return;
    }
    const std::string id = decoded->id;
    Stream& stream = this->streams[id];
    stream.request = *std::move(decoded);
    stream.next_index = stream.request.start_index;
    if (this->fault_count > 0) {
      --this->fault_count;
      stream.fault = this->next_fault;
    }
    if (this->records.size() < kMaxRecords) {
      this->records.push_back({id, "running", 0, concurrent, bearable});
    }
    stream.record = this->records.size() - 1;
    if (stream.fault == Fault::kError) {
      Refuse(*writer, 500, "internal error", false);
      this->EndStream(stream, "error");
      return;
    }
    this->Attach(stream, writer);
    const auto place =
        std::ranges::find_if(this->queue, [&](const std::string& queued) {
          return this->streams.at(queued).request.priority <
                 stream.request.priority;
        });
    this->queue.insert(place, id);
    this->StartQueued(now);
  }
}

void EngineStandIn::Attach(Stream& stream,
                           const std::shared_ptr<HttpResponseWriter>& writer) {
  stream.writer = writer;
  writer->Start(200, {{"Content-Type", "text/event-stream"}});
  writer->OnCallerDisconnected([this, id = stream.request.id] {
    const auto found = this->streams.find(id);
    if (found != this->streams.end()) {
      found->second.writer = nullptr;
      found->second.orphaned_at = EventLoop::Now();
    }
  });
}

void EngineStandIn::StartQueued(TimePoint now) {
  while (!this->queue.empty() && this->Running() < this->options.batch) {
    Stream& stream = this->streams.at(this->queue.front());
    this->queue.pop_front();
    stream.running = true;
    const std::size_t matched =
        this->cache.Use(HashPromptBlocks(stream.request.prompt), now);
    const std::int64_t tokens =
        CountPromptTokens(stream.request.prompt) + stream.next_index -
        static_cast<std::int64_t>(matched) * kTokensPerBlock;
    stream.prefilled_at = now + this->options.prefill_per_token * tokens;
  }
}

void EngineStandIn::EndStream(Stream& stream, const std::string& end) {
  stream.ended = true;
  stream.running = false;
  stream.orphaned_at = EventLoop::Now();
  std::erase(this->queue, stream.request.id);
  RunRecord& record = this->records.at(stream.record);
  record.end = end;
  record.tokens = stream.next_index;
}

void EngineStandIn::Generate(Stream& stream) {
  const std::int64_t first = stream.request.start_index;
  const std::int64_t count = stream.request.max_tokens;
  const auto write = [&](const std::string& bytes) {
    if (stream.writer != nullptr) {
      stream.writer->Write(bytes);
    }
  };
  if (stream.fault == Fault::kGarbage && stream.next_index > first) {
    write("data: {\"index\": \x01\xff garbage\n\n");
  } else if (stream.fault == Fault::kStop &&
             stream.next_index >= first + (count - first) / 2) {
    if (stream.writer != nullptr) {
      stream.writer->Abort();
    }
    stream.writer = nullptr;
    stream.fault = Fault::kNone;
    stream.orphaned_at = EventLoop::Now();
    if (this->options.keep_stream == Duration(0)) {
      this->EndStream(stream, "stopped");
    }
    return;
  }
  const bool floods =
      stream.fault == Fault::kFlood && stream.next_index < count + 1000;
  if (stream.next_index < count || floods) {
    write(EncodeEngineEvent(
        {EngineEvent::Kind::kToken, stream.next_index,
         TokenText(stream.request.prompt, stream.next_index)}));
    ++stream.next_index;
  }
  if (stream.next_index >= count && !floods) {
    write(EncodeEngineEvent({EngineEvent::Kind::kDone, count, ""}));
    if (stream.writer != nullptr) {
      stream.writer->End();
      stream.writer = nullptr;
    }
    this->EndStream(stream, "whole");
  }
}

void EngineStandIn::CountExpertTokens(std::int64_t running) {
  // Popularity falls with the rank, and the ranks rotate as steps go by.
  const auto experts = static_cast<std::int64_t>(this->expert_tokens.size());
  for (std::int64_t expert = 0; expert < experts; ++expert) {
    const std::int64_t rank =
        (expert + this->map.step / this->options.drift_steps) % experts;
    this->expert_tokens[static_cast<std::size_t>(expert)] +=
        static_cast<double>(running) / static_cast<double>(1 + rank);
  }
}

void EngineStandIn::ExpireStreams(TimePoint now) {
  for (auto entry = this->streams.begin(); entry != this->streams.end();) {
    Stream& stream = entry->second;
    const bool expired = stream.writer == nullptr &&
                         now - stream.orphaned_at >= this->options.keep_stream;
    if (expired && !stream.ended) {
      this->EndStream(stream, "cancelled");
    }
    entry = expired ? this->streams.erase(entry) : std::next(entry);
  }
}

void EngineStandIn::Step() {
  const TimePoint now = EventLoop::Now();
  double factor = StepFactor(this->options.warmth, this->busy);
  if (!this->map.change.empty() && !IsStaged(this->map, now)) {
    factor *= kStagingStepFactor;
  }
  const Duration step_time(static_cast<std::int64_t>(
      static_cast<double>(this->options.step_time.count()) * factor));
  std::int64_t target = 0;
  if (this->options.step_epoch > Duration(0)) {
    target =
        (EventLoop::WallNow().time_since_epoch() - this->options.step_epoch) /
        this->options.step_time;
  }
  const bool up = now >= this->restarted_at && now >= this->stalled_until;
  this->ExpireStreams(now);
  if (up && AdvanceStep(this->map, target)) {
    const std::int64_t running = this->Running();
    // The nominal time keeps the engine from warming up by the delays of a
    // busy machine.
    this->busy += running > 0 ? step_time : Duration(0);
    this->last_step_time = now - this->last_step_at;
    this->CountExpertTokens(running);
    for (auto& [id, stream] : this->streams) {
      if (stream.running && now >= stream.prefilled_at) {
        this->Generate(stream);
      }
    }
    this->StartQueued(now);
    this->last_step_at = now;
  }
  this->step_timer = std::make_unique<Timer>(this->loop, step_time, Duration(0),
                                             [this] { this->Step(); });
}

void EngineStandIn::Resume(const std::string& id,
                           std::int64_t from,
                           const std::shared_ptr<HttpResponseWriter>& writer) {
  const auto found = this->streams.find(id);
  if (found == this->streams.end() ||
      this->options.keep_stream == Duration(0)) {
    Refuse(*writer, 404, "the stream is not kept", true);
    return;
  }
  Stream& stream = found->second;
  if (from < stream.request.start_index || from > stream.next_index) {
    Refuse(*writer, 416, "the index is not kept", true);
    return;
  }
  if (stream.writer != nullptr) {
    stream.writer->Abort();
  }
  this->Attach(stream, writer);
  for (std::int64_t index = from; index < stream.next_index; ++index) {
    writer->Write(EncodeEngineEvent({EngineEvent::Kind::kToken, index,
                                     TokenText(stream.request.prompt, index)}));
  }
  if (stream.ended) {
    writer->Write(
        EncodeEngineEvent({EngineEvent::Kind::kDone, stream.next_index, ""}));
    writer->End();
    stream.writer = nullptr;
  }
}

void EngineStandIn::CancelStream(const std::string& id,
                                 HttpResponseWriter& writer) {
  const auto found = this->streams.find(id);
  if (found == this->streams.end()) {
    Refuse(writer, 404, "the stream is not kept", true);
    return;
  }
  if (!found->second.ended) {
    this->EndStream(found->second, "cancelled");
  }
  if (found->second.writer != nullptr) {
    found->second.writer->Abort();
  }
  this->streams.erase(found);
  writer.Respond(200, {}, "{}");
}

void EngineStandIn::TakeOrder(const HttpRequest& request,
                              HttpResponseWriter& writer) {
  const TimePoint now = EventLoop::Now();
  const auto order = DecodeEngineOrder(request.body);
  if (!order.has_value()) {
    Refuse(writer, 400, "the order cannot be read", true);
    return;
  }
  const Duration staging_time(
      static_cast<std::int64_t>(static_cast<double>(order->bytes) * 1e6 /
                                this->options.staged_bytes_per_s));
  const std::string reason =
      now < this->restarted_at
          ? "the engine is starting"
          : ApplyMapOrder(this->map, *order, staging_time, now);
  if (!reason.empty()) {
    ++this->refused_orders;
    Refuse(writer, 409, reason, true);
    return;
  }
  if (order->kind == EngineOrder::Kind::kLoadModel &&
      order->model != this->model) {
    this->model = order->model;
    this->FallOver("model_changed");
    --this->fall_overs;
  }
  writer.Respond(200, {}, "{}");
}

std::string EngineStandIn::FormatStats() const {
  std::string text;
  AppendLine(text, "requests", static_cast<std::int64_t>(this->records.size()));
  AppendLine(text, "concurrent", this->Concurrent());
  AppendLine(text, "bearable",
             BearableRequests(this->options.warmth, this->busy));
  AppendLine(text, "peak_concurrent", this->peak_concurrent);
  AppendLine(text, "peak_excess", this->peak_excess);
  AppendLine(text, "fall_overs", this->fall_overs);
  AppendLine(text, "refused_orders", this->refused_orders);
  AppendLine(text, "step", this->map.step);
  AppendLine(text, "map_version", this->map.version);
  return text;
}

void EngineStandIn::HandleControl(const HttpRequest& request,
                                  HttpResponseWriter& writer) {
  static constexpr std::array<std::pair<std::string_view, Fault>, 5> kFaults{{
      {"none", Fault::kNone},
      {"garbage", Fault::kGarbage},
      {"stop", Fault::kStop},
      {"flood", Fault::kFlood},
      {"error", Fault::kError},
  }};
  std::string answer;
  if (request.path == "/control/cold") {
    this->busy = Duration(0);
  } else if (request.path == "/control/restart") {
    this->FallOver("restarted");
  } else if (request.path == "/control/stall") {
    this->stalled_until =
        EventLoop::Now() + Milliseconds(NumberOf(request, "ms", 0));
  } else if (request.path == "/control/fault") {
    const std::string kind = QueryValue(request.query, "kind").value_or("");
    const auto* fault = std::ranges::find(
        kFaults, kind, [](const auto& entry) { return entry.first; });
    if (fault == kFaults.end()) {
      writer.Respond(400, {}, "unknown fault kind\n");
      return;
    }
    this->next_fault = fault->second;
    this->fault_count = NumberOf(request, "count", 1);
  } else if (request.path == "/control/stats") {
    answer = this->FormatStats();
  } else if (request.path == "/control/requests") {
    for (const RunRecord& record : this->records) {
      answer.append(record.id).append(" ").append(record.end).append(" ");
      answer.append(std::to_string(record.tokens)).append(" ");
      AppendLine(answer, std::to_string(record.concurrent), record.bearable);
    }
  } else if (request.path == "/control/map_uses") {
    for (const MapState::Use& use : this->map.uses) {
      AppendLine(answer, std::to_string(use.first_step), use.version);
    }
  } else {
    writer.Respond(404, {}, "unknown control path\n");
    return;
  }
  writer.Respond(200, {}, answer);
}

void EngineStandIn::Handle(const HttpRequest& request,
                           const std::shared_ptr<HttpResponseWriter>& writer) {
  constexpr std::string_view kStreams = "/v1/streams/";
  const HttpHeaders json = {{"Content-Type", "application/json"}};
  if (request.path.starts_with("/control/")) {
    this->HandleControl(request, *writer);
  } else if (request.path == "/v1/completions" && request.method == "POST") {
    this->Complete(request, writer);
  } else if (request.path == "/v1/orders" && request.method == "POST") {
    this->TakeOrder(request, *writer);
  } else if (request.path == "/v1/status") {
    writer->Respond(200, json, EncodeEngineStatus(this->reported));
  } else if (request.path == "/v1/cache_events") {
    EngineCacheEvents events =
        this->cache.EventsFrom(NumberOf(request, "from", 1), EventLoop::Now());
    events.incarnation = this->incarnation;
    writer->Respond(200, json, EncodeCacheEvents(events));
  } else if (request.path.starts_with(kStreams)) {
    const std::string id = request.path.substr(kStreams.size());
    if (request.method == "DELETE") {
      this->CancelStream(id, *writer);
    } else {
      this->Resume(id, NumberOf(request, "from", 0), writer);
    }
  } else {
    Refuse(*writer, 404, "unknown path", true);
  }
}

}  // namespace toucanhollow
