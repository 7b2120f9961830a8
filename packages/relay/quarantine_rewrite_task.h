// QuarantineRewriteTask: after the platform's store came back from an older
// copy, reads its records of quarantines and has those written again that the
// copy lacks.
#ifndef RELAY_QUARANTINE_REWRITE_TASK_H_
#define RELAY_QUARANTINE_REWRITE_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "relay/quarantine_rewrite.h"
#include "relay/relay_codec.h"

namespace toucanhollow {

struct QuarantineRewriteCallbacks {
  std::function<std::vector<QuarantineInForce>()> list_in_force;
  std::function<void(const QuarantineRecord& record)> write;
};

class QuarantineRewriteTask {
 public:
  // `host` is the name of this process.
  QuarantineRewriteTask(EventLoop& loop,
                        HttpClient& client,
                        const RelayCodec& codec,
                        Address store,
                        std::string host,
                        QuarantineRewriteCallbacks callbacks);
  ~QuarantineRewriteTask();

  // To be called with the era of each answer of the store. A later era than the
  // one before starts the checks anew; an older one has no effect.
  void OnEra(StoreEra era);
  // The latest era.
  StoreEra era() const { return this->latest_era.value_or(StoreEra{}); }

 private:
  enum class Scope { kOwnTests, kAll };

  void Schedule(Scope scope, Duration delay);
  // Reads the store if a quarantine of the scope is in force.
  void Check(Scope scope);
  void Read(const std::string& after);
  void OnPage(const HttpOutcome& outcome);
  void Retry();
  void WriteLost();
  std::vector<QuarantineRecord> ListInForce(Scope scope) const;

  EventLoop& loop;
  HttpClient& client;
  const RelayCodec& codec;
  Address store;
  std::string host;
  QuarantineRewriteCallbacks callbacks;
  std::optional<StoreEra> latest_era;
  // The check that is running.
  Scope scope = Scope::kOwnTests;
  int attempts = 0;
  std::map<std::string, QuarantineRecord> stored;  // by QuarantineKey
  HttpCallId call = 0;
  std::unique_ptr<Timer> retry;
  std::map<Scope, std::unique_ptr<Timer>> due;
};

}  // namespace toucanhollow

#endif  // RELAY_QUARANTINE_REWRITE_TASK_H_
