// A stand-in for the platform's store: keyed topics with offsets, long reads
// and the group of coordinators.
#ifndef STANDINS_PLATFORM_PLATFORM_STORE_STAND_IN_H_
#define STANDINS_PLATFORM_PLATFORM_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_loop/event_loop.h"
#include "http_server/http_server.h"

namespace toucanhollow {

class PlatformStoreStandIn {
 public:
  explicit PlatformStoreStandIn(EventLoop& loop);

  std::uint16_t Port() const;
  // Appends a record and answers the reads that wait for it. No value removes
  // the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::optional<std::string>& value);
  // The newest value of each key of a topic.
  std::map<std::string, std::string> Values(const std::string& topic) const;
  // While down, every call is answered 503.
  void SetDown(bool down);
  // Whether members of groups are given a partition, and which one.
  void SetCoordinator(bool gives) { this->coordinator = gives; }
  int given_partition = 0;
  // One member at a time is given it: the first that joins, until it leaves or
  // has been silent for the lifetime that it asked for.
  bool elects_member = false;
  // Reads of this topic are answered 503.
  std::string unreadable_topic;
  // The generation that members are told.
  std::int64_t generation = 1;
  // When members joined or stayed in the group, in order.
  std::vector<TimePoint> joins;
  // Drops the history of a topic; the newest records stay.
  void Compact(const std::string& topic);

 private:
  struct Record {
    std::string key;
    std::optional<std::string> value;
  };
  struct Topic {
    std::int64_t first = 0;
    std::vector<Record> records;  // from offset 0 on
  };
  struct WaitingRead {
    std::string topic;
    std::int64_t from = 0;
    std::shared_ptr<HttpResponseWriter> writer;
    std::unique_ptr<Timer> timer;
  };

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponseWriter>& writer);
  void Read(const HttpRequest& request,
            const std::shared_ptr<HttpResponseWriter>& writer);
  void Append(const HttpRequest& request, HttpResponseWriter& writer);
  // True if the member that joins holds the partition.
  bool Join(const HttpRequest& request);
  void Leave(const HttpRequest& request);
  std::string Page(const Topic& topic, std::int64_t from) const;
  std::string Newest(const Topic& topic) const;

  EventLoop& loop;
  std::unique_ptr<HttpServer> server;
  bool down = false;
  bool coordinator = false;
  // The member that holds the partition, and until when without a join.
  std::string holder;
  TimePoint held_until;
  std::map<std::string, Topic> topics;
  std::map<std::uint64_t, WaitingRead> waiting;
  std::uint64_t next_read = 1;
};

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_PLATFORM_STORE_STAND_IN_H_
