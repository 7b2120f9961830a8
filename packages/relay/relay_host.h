// RelayHost: the entry host process on the users' platform. It relays callers'
// requests to the servers that the platform lists.
#ifndef RELAY_RELAY_HOST_H_
#define RELAY_RELAY_HOST_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "http_server/http_server.h"
#include "http_stream/tcp_connection.h"
#include "map_task/group_map_task.h"
#include "metrics/metrics.h"
#include "metrics_server/metrics_server.h"
#include "permit/permit_client.h"
#include "relay/caller_session.h"
#include "relay/dispatcher.h"
#include "relay/peer_task.h"
#include "relay/platform_view_task.h"
#include "relay/prompt_quarantine.h"
#include "relay/quarantine_store_task.h"
#include "relay/relay_codec.h"
#include "relay/relay_memory.h"
#include "relay/relay_settings.h"
#include "relay/server_silence.h"
#include "relay/stop_schedule.h"

namespace toucanhollow {

class RelayHost {
 public:
  RelayHost(EventLoop& loop,
            RelaySettings settings,
            const RelayCodec& codec,
            const EngineMapCodec& engine_codec);
  ~RelayHost();

  // Opens the sockets, that for callers last. Fails with kSettingsInvalid if a
  // port is held, except for that of the metrics, which may follow later. The
  // object must then be destroyed before the loop runs again.
  Result<bool> Start();
  // Stops accepting requests, finishes those in flight and then calls `done`.
  // Requests still open shortly before the grace time ends get a final answer.
  void Shutdown(std::function<void()> done);

 private:
  void OnAccept(int socket);
  void OnViewChange();
  void Sweep();
  void AdvanceShutdown(TimePoint now);
  // Closes the listener once callers have no reason to connect any more.
  void AdvanceListener(TimePoint now);
  bool IsReady() const;
  // True once this host knows which prompts crash servers, or cannot learn it.
  bool KnowsQuarantines(TimePoint now) const;
  std::vector<ExpertParallelService> ListExpertParallelServices() const;
  // Asks the agent beside the server for the engine's report and, if
  // `fall_back_to_engine` is set, the engine itself if the agent does not
  // answer. `done` gets nothing if the server leaves or has no agent, and an
  // empty reply if there is no answer.
  void AskAgent(const ListedServer& server,
                bool fall_back_to_engine,
                std::function<void(const std::optional<RankAnswer>&)> done);
  Result<bool> ListenReadiness();
  std::string FormatMetrics();
  void UpdateMemoryGauges();
  void UpdateStoreGauges(TimePoint now);
  void MakeMapTask();

  EventLoop& loop;
  RelaySettings settings;
  const RelayCodec& codec;
  const EngineMapCodec& engine_codec;
  Metrics metrics;
  HttpClient client;
  RelayMemory memory;
  PermitClient permits;
  ServerSilence silence;
  PromptQuarantine quarantine;
  Dispatcher dispatcher;
  ObservedTimeouts observed_timeouts;
  std::unique_ptr<PlatformViewTask> view_task;
  std::unique_ptr<PeerTask> peers;
  std::unique_ptr<QuarantineStoreTask> quarantine_store;
  std::unique_ptr<GroupMapTask> maps;
  std::unique_ptr<TcpListener> listener;
  bool refuses_connections = false;
  // Set from the first time on that open requests were ended for the stop.
  bool gave_last_answers = false;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<MetricsServer> metrics_server;
  std::map<std::uint64_t, std::unique_ptr<CallerSession>> sessions;
  std::uint64_t next_session = 1;
  std::size_t max_sessions = 0;
  std::unique_ptr<Timer> sweep_timer;
  std::unique_ptr<Timer> close_timer;
  TimePoint started_at;
  TimePoint swept_at;
  // End of the last pause in which this process did not run.
  TimePoint awake_since;
  // Set once the host has begun to stop.
  std::optional<StopSchedule> stop;
  std::function<void()> on_drained;
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // RELAY_RELAY_HOST_H_
