// QuarantineStoreTask: reads the quarantines that the platform's store holds
// when the host starts, and writes those that follow from tests of this host,
// again if the store loses them.
#ifndef RELAY_QUARANTINE_STORE_TASK_H_
#define RELAY_QUARANTINE_STORE_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "relay/quarantine_record.h"
#include "relay/quarantine_rewrite_task.h"
#include "relay/relay_codec.h"

namespace toucanhollow {

struct QuarantineStoreCallbacks {
  std::function<void(const QuarantineRecord& record)> on_record;
  // Called once, after the last record.
  std::function<void()> on_loaded;
  // The quarantines that are in force at this host.
  std::function<std::vector<QuarantineInForce>()> list_in_force;
};

class QuarantineStoreTask {
 public:
  // Starts reading at once. `host` is the name of this process.
  QuarantineStoreTask(EventLoop& loop,
                      HttpClient& client,
                      const RelayCodec& codec,
                      Address store,
                      std::string host,
                      QuarantineStoreCallbacks callbacks);
  ~QuarantineStoreTask();

  // Writes the record, and tries again for a while if the store does not
  // answer.
  void Write(const QuarantineRecord& record);
  // To be called with the era of answers of the store to other calls.
  void OnEra(StoreEra era) { this->rewrite.OnEra(era); }

 private:
  // A record that the store has not acknowledged.
  struct Pending {
    std::string value;
    int attempts = 0;
    HttpCallId call = 0;
    std::unique_ptr<Timer> retry;
  };

  void Read(const std::string& after);
  void OnPage(const HttpOutcome& outcome);
  void Append(const std::string& key);
  void OnAppended(const std::string& key, const HttpOutcome& outcome);
  // Whether the store holds what it acknowledged by the answer: an append of an
  // older era may be lost.
  bool IsOfCurrentEra(const HttpOutcome& outcome);

  EventLoop& loop;
  HttpClient& client;
  const RelayCodec& codec;
  Address store;
  QuarantineStoreCallbacks callbacks;
  QuarantineRewriteTask rewrite;
  HttpCallId read_call = 0;
  int consecutive_too_large = 0;
  std::unique_ptr<Timer> read_retry;
  std::map<std::string, Pending> pending;  // by key
};

}  // namespace toucanhollow

#endif  // RELAY_QUARANTINE_STORE_TASK_H_
