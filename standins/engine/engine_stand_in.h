// Stand-in for a model engine, one rank of a group, served in the format of
// engine_api/engine_codec.h. It batches continuously: each running request
// gets one token a step. On more concurrent requests than it bears it falls
// over: running answers break and it restarts cold.
//
// Control paths:
//   POST /control/cold                     turns cold, same incarnation
//   POST /control/restart                  falls over now
//   POST /control/stall?ms=                takes no step for a while
//   POST /control/fault?kind=&count=       for the next answers:
//        garbage    unreadable bytes after the first token
//        stop       the stream stops after half of the tokens
//        flood      more tokens than asked for
//        error      status 500 without a statement whether it ran
//   GET  /control/stats                    "<name> <value>" lines
//   GET  /control/requests                 "<id> <end> <tokens> <concurrent>
//                                          <bearable>" for each request run
//   GET  /control/map_uses                 "<first step> <version>" lines
#ifndef STANDINS_ENGINE_ENGINE_STAND_IN_H_
#define STANDINS_ENGINE_ENGINE_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine_api/engine_codec.h"
#include "http_server/http_server.h"
#include "standins/engine/map_state.h"
#include "standins/engine/prefix_cache.h"
#include "standins/engine/warmth.h"

namespace toucanhollow {

struct EngineStandInOptions {
  std::string model = "model-a";
  WarmthOptions warmth;
  PrefixCacheOptions cache;
  bool starts_warm = false;
  // Requests that generate at the same time; others wait in the queue.
  std::int64_t batch = 32;
  // Step time of the warm engine.
  Duration step_time = Milliseconds(20);
  Duration prefill_per_token = Duration(50);
  Duration restart_time = Seconds(1);
  Duration status_lag = Milliseconds(500);
  // A stream whose reader has gone is kept so long for resume; zero cancels it
  // at once and refuses every resume.
  Duration keep_stream = Seconds(2);
  double staged_bytes_per_s = 1e9;
  bool checks_fence = true;
  // -1 leaves the engine without a map until load_map.
  std::int64_t map_version = 0;
  // True loses the map at a restart.
  bool loses_map = false;
  // Wall time at which step 0 began in all ranks; zero counts from the start.
  Duration step_epoch{};
  std::int64_t experts = 0;
  // Expert popularity shifts by one expert in this many steps.
  std::int64_t drift_steps = 5000;
};

class EngineStandIn {
 public:
  EngineStandIn(EventLoop& loop, EngineStandInOptions options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponseWriter>& writer);

 private:
  enum class Fault { kNone, kGarbage, kStop, kFlood, kError };
  struct Stream {
    EngineRequest request;
    std::shared_ptr<HttpResponseWriter> writer;
    std::int64_t next_index = 0;
    bool running = false;
    TimePoint prefilled_at;
    TimePoint orphaned_at;
    bool ended = false;
    Fault fault = Fault::kNone;
    std::size_t record = 0;
  };
  struct RunRecord {
    std::string id;
    std::string end = "running";
    std::int64_t tokens = 0;
    std::int64_t concurrent = 0;
    std::int64_t bearable = 0;
  };

  void Complete(const HttpRequest& request,
                const std::shared_ptr<HttpResponseWriter>& writer);
  void Resume(const std::string& id,
              std::int64_t from,
              const std::shared_ptr<HttpResponseWriter>& writer);
  void CancelStream(const std::string& id, HttpResponseWriter& writer);
  void TakeOrder(const HttpRequest& request, HttpResponseWriter& writer);
  void HandleControl(const HttpRequest& request, HttpResponseWriter& writer);
  void Attach(Stream& stream,
              const std::shared_ptr<HttpResponseWriter>& writer);
  void Step();
  void StartQueued(TimePoint now);
  void Generate(Stream& stream);
  void EndStream(Stream& stream, const std::string& end);
  void ExpireStreams(TimePoint now);
  void CountExpertTokens(std::int64_t running);
  void FallOver(const std::string& cause);
  void UpdateStatus();
  std::int64_t Concurrent() const;
  std::int64_t Running() const;
  std::string FormatStats() const;

  EventLoop& loop;
  EngineStandInOptions options;
  std::uint64_t incarnation = 0;
  std::string model;
  Duration busy{};
  TimePoint stalled_until;
  TimePoint restarted_at;
  TimePoint last_step_at;
  Duration last_step_time{};
  MapState map;
  PrefixCache cache;
  std::map<std::string, Stream> streams;
  std::deque<std::string> queue;
  EngineStatus reported;
  std::vector<double> expert_tokens;
  Fault next_fault = Fault::kNone;
  std::int64_t fault_count = 0;
  std::vector<RunRecord> records;
  std::int64_t peak_concurrent = 0;
  std::int64_t peak_excess = 0;
  std::int64_t fall_overs = 0;
  std::int64_t refused_orders = 0;
  std::unique_ptr<Timer> step_timer;
  std::unique_ptr<Timer> status_timer;
};

}  // namespace toucanhollow

#endif  // STANDINS_ENGINE_ENGINE_STAND_IN_H_
