#include <gflags/gflags.h>

#include "standins/engine/engine_stand_in.h"
#include "standins/program/stand_in_program.h"

DEFINE_string(address, "127.0.0.1", "listen address");
DEFINE_int32(port, 0, "listen port; 0 lets the system choose");
DEFINE_string(model, "model-a", "model that is loaded");
DEFINE_int64(cold_limit, 2, "concurrent requests that a cold engine bears");
DEFINE_int64(full_limit, 32, "concurrent requests that a warm engine bears");
DEFINE_int64(warm_doubling_ms, 500, "busy time that doubles what it bears");
DEFINE_double(cold_step_factor, 4, "step time when cold over that when warm");
DEFINE_bool(starts_warm, false, "bear the full limit from the start");
DEFINE_int64(batch, 32, "requests that generate at the same time");
DEFINE_double(step_ms, 20, "step time when warm");
DEFINE_int64(prefill_us_per_token, 50, "prefill time of a prompt token");
DEFINE_int64(restart_ms, 1000, "time without service after falling over");
DEFINE_int64(status_lag_ms, 500, "largest age of the reported status");
DEFINE_int64(keep_stream_ms, 2000, "time to resume a stream; 0 refuses");
DEFINE_int64(cache_blocks, 4096, "prefix blocks that the cache holds");
DEFINE_int64(cache_event_delay_ms, 300, "delay of cache events");
DEFINE_int64(cache_event_lose_each, 50, "each n-th cache event is lost");
DEFINE_double(staged_bytes_per_s, 1e9, "rate of fetching staged weights");
DEFINE_bool(checks_fence, true, "refuse orders with an old fencing token");
DEFINE_int64(map_version, 0, "expert map at the start; -1 for none");
DEFINE_bool(loses_map, false, "have no map after a restart");
DEFINE_int64(step_epoch_ms, 0, "wall time of step 0; 0 is the start");
DEFINE_int64(experts, 0, "experts whose tokens are counted");
DEFINE_int64(drift_steps, 5000, "steps in which popularity shifts by one");

namespace toucanhollow {
namespace {

EngineStandInOptions OptionsFromFlags() {
  EngineStandInOptions options;
  options.model = FLAGS_model;
  options.warmth = {FLAGS_cold_limit, FLAGS_full_limit,
                    Milliseconds(FLAGS_warm_doubling_ms),
                    FLAGS_cold_step_factor};
  options.cache.max_blocks = static_cast<std::size_t>(FLAGS_cache_blocks);
  options.cache.event_delay = Milliseconds(FLAGS_cache_event_delay_ms);
  options.cache.lose_each = FLAGS_cache_event_lose_each;
  options.starts_warm = FLAGS_starts_warm;
  options.batch = FLAGS_batch;
  options.step_time = Duration(static_cast<std::int64_t>(FLAGS_step_ms * 1000));
  options.prefill_per_token = Duration(FLAGS_prefill_us_per_token);
  options.restart_time = Milliseconds(FLAGS_restart_ms);
  options.status_lag = Milliseconds(FLAGS_status_lag_ms);
  options.keep_stream = Milliseconds(FLAGS_keep_stream_ms);
  options.staged_bytes_per_s = FLAGS_staged_bytes_per_s;
  options.checks_fence = FLAGS_checks_fence;
  options.map_version = FLAGS_map_version;
  options.loses_map = FLAGS_loses_map;
  options.step_epoch = Milliseconds(FLAGS_step_epoch_ms);
  options.experts = FLAGS_experts;
  options.drift_steps = FLAGS_drift_steps;
  return options;
}

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  toucanhollow::EventLoop loop;
  toucanhollow::EngineStandIn stand_in(loop, toucanhollow::OptionsFromFlags());
  return toucanhollow::RunStandIn(
      loop, FLAGS_address, FLAGS_port,
      [&](const toucanhollow::HttpRequest& request, const auto& writer) {
        stand_in.Handle(request, writer);
      });
}
