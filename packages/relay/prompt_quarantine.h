// PromptQuarantine: keeps what this entry host knows of prompts that crash
// servers, and exchanges it with the other entry hosts.
#ifndef RELAY_PROMPT_QUARANTINE_H_
#define RELAY_PROMPT_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "event_loop/event_loop.h"
#include "metrics/metrics.h"
#include "quarantine/attempt_table.h"
#include "quarantine/begun_answers.h"
#include "quarantine/judge_request.h"
#include "quarantine/quarantine_state.h"
#include "quarantine/sound_parts.h"
#include "relay/engine_check.h"
#include "relay/quarantine_record.h"
#include "relay/quarantine_rewrite.h"
#include "traffic/known_server.h"

namespace toucanhollow {

// Names an attempt of a request at a server.
struct AttemptTicket {
  ServerIncarnation server;
  AttemptNumber number = 0;

  bool operator==(const AttemptTicket&) const = default;
};

// Hash of a server's address, which names it in records of crashes.
std::uint32_t HashAddress(const Address& address);

struct QuarantineCallbacks {
  // Sends a datagram to all other entry hosts, or to the one at this IP
  // address.
  std::function<void(const std::string& bytes)> broadcast;
  std::function<void(const std::string& host, const std::string& bytes)> send;
  // Asks the server's agent whether the server still runs. `done` is called
  // once, never inside this call.
  std::function<void(const ListedServer& server,
                     std::function<void(EngineState state)> done)>
      check_engine;
  // The verdict on some requests may have changed.
  std::function<void()> on_change;
  // A test that this host made has put parts in quarantine.
  std::function<void(const QuarantineRecord& record)> on_quarantine;
};

class PromptQuarantine {
 public:
  PromptQuarantine(EventLoop& loop, Metrics& metrics);

  void SetCallbacks(QuarantineCallbacks callbacks);

  // What was known before this host started has been read from the store, or
  // from a host that had read it. A host that has just started knows nothing
  // that it could pass on.
  void MarkKnown() { this->known = true; }
  bool is_known() const { return this->known; }

  PromptJudgement Judge(const std::vector<PartId>& parts,
                        AccountHash account,
                        TimePoint now);
  const QuarantineState& state() const { return this->quarantine; }

  // Records that a request is sent to the server.
  AttemptTicket AddAttempt(const ListedServer& server, PromptAttempt attempt);
  // The answer has begun.
  void MarkBegun(const AttemptTicket& ticket, TimePoint now);
  void EndAttempt(const AttemptTicket& ticket,
                  AttemptResult result,
                  TimePoint now);
  // To be called when the server broke off an attempt or refused a connection.
  // Finds out whether the server crashed, then calls `done`; at once if no
  // prompt can have crashed it.
  void CheckServer(const ListedServer& server, std::function<void()> done);

  // A crash report of another entry host. Fails with kFrameMalformed.
  Result<bool> OnReport(std::string_view bytes);
  // What another entry host knows differs from what this one knows, if the
  // digests differ.
  void OnPeerDigest(const std::string& host,
                    std::uint32_t digest,
                    TimePoint now);
  std::uint32_t Digest(TimePoint now);
  // A quarantine that was read from the store.
  void Restore(const QuarantineRecord& record);
  // The quarantines that are in force, except those whose parts this host knows
  // only by hash, and those that an operator's rule lifts.
  std::vector<QuarantineInForce> ListInForce(TimePoint now);
  // Replaces the operators' rules.
  void SetRules(const std::map<std::string, PromptRuleRecord>& rules);
  // Everything that is known, as datagrams.
  std::vector<std::string> EncodeAll(TimePoint now) const;

  // To be called periodically.
  void Sweep(TimePoint now);

 private:
  struct Check {
    bool running = false;
    bool again = false;
    // A server that still ran is not checked again before this time.
    TimePoint not_before;
    std::vector<std::function<void()>> waiting;
  };

  void StartCheck(const ListedServer& server);
  void OnChecked(const ListedServer& server, EngineState state);
  // Adds this host's candidates to what is known of the crash, and tells the
  // other hosts if that is new.
  void ReportCrash(const ServerIncarnation& server,
                   std::uint32_t service,
                   TimePoint now);
  // Records what the answers prove that servers have survived.
  void RecordProofs(TimePoint now);
  // Tells the other hosts of the crashes whose record has changed.
  void TellChanges(const std::vector<ServerIncarnation>& changed,
                   TimePoint now);
  void RememberNames(const ServerIncarnation& server);
  // `tested`: the name takes the place of others that are not in quarantine if
  // there is no room.
  void RememberName(const ServiceName& service,
                    const std::string& name,
                    bool tested);
  bool HasRoomForName(const std::string& name) const;
  void ForgetName(const std::map<PartId, std::string>::iterator& entry);
  // Forgets the names of parts that are neither suspect nor in quarantine.
  void ForgetUnusedNames();
  bool IsQuarantined(PartId part) const;
  void Tell(const ServerIncarnation& crash, TimePoint now);
  void NotifyChange();
  void Update(TimePoint now);
  void LogQuarantines(const std::vector<Quarantine>& before, TimePoint now);
  // Calls on_quarantine if the quarantine follows from a test of this host.
  void Publish(const Quarantine& entry, TimePoint now);
  // Returns nothing if the name of the service or of a part is not known here.
  std::optional<QuarantineInForce> DescribeQuarantine(const Quarantine& entry,
                                                      TimePoint now) const;
  std::string DescribeParts(const std::vector<PartId>& parts) const;
  void After(Duration delay, std::function<void()> action);

  EventLoop& loop;
  Metrics& metrics;
  QuarantineCallbacks callbacks;
  QuarantineState quarantine;
  AttemptTable attempts;
  SoundParts sound;
  BegunAnswers begun;
  AttemptNumber next_attempt = 1;
  std::map<ServerIncarnation, Check> checks;
  // Ids of parts that were at servers which crashed, as callers wrote them.
  std::map<PartId, std::string> names;
  std::size_t name_bytes = 0;
  // Services with such parts, by the hash that records of crashes hold.
  std::map<std::uint32_t, ServiceName> services;
  // Crashes during tests of this host.
  std::set<ServerIncarnation> own_tests;
  std::map<std::string, TimePoint> told_at;  // everything, by host
  TimePoint changed_at;
  bool known = false;
  bool notifying = false;
  std::uint64_t next_seed;
  std::uint64_t next_timer = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> timers;
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // RELAY_PROMPT_QUARANTINE_H_
