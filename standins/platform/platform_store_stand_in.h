// A stand-in for the platform's store: keyed topics with offsets, long reads,
// the group of coordinators, and a return from an older copy.
#ifndef STANDINS_PLATFORM_PLATFORM_STORE_STAND_IN_H_
#define STANDINS_PLATFORM_PLATFORM_STORE_STAND_IN_H_

#include <cstdint>
#include <functional>
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
  // Copies all topics and the group.
  void SaveCopy();
  // Goes back to the last copy and begins the next era: offsets and generations
  // after the copy are given out again. Waiting reads are answered 503.
  void RestoreCopy();
  // Leaves the topic out of the last copy, as if it had been written later.
  void DropFromCopy(const std::string& topic) {
    this->copy.topics.erase(topic);
  }
  // The era that all answers name; none if empty.
  std::optional<std::int64_t> era = 1;
  // The calls answered so far, by path.
  std::map<std::string, int> calls;
  // Those of them that read a topic's log or newest records, by topic.
  std::map<std::string, int> reads;
  // Whether members of groups are given a partition, and which one.
  void SetCoordinator(bool gives) { this->coordinator = gives; }
  int given_partition = 0;
  // Reads of this topic are answered 503.
  std::string unreadable_topic;
  // The generation that members are told.
  std::int64_t generation = 1;
  // The group knows its members: one of them holds the given partition, and
  // each change of the group increases the generation. It replaces
  // SetCoordinator.
  bool knows_members = false;
  // How much later a member that leaves is answered.
  Duration leave_delay{0};
  // Gives the partition to another member at once, without any request.
  void Reassign();
  // When members joined or stayed in the group, in order.
  std::vector<TimePoint> joins;
  // Answers of reads end after this, as in the protocol of the store, but have
  // at least one record.
  std::size_t page_bytes = std::size_t{1} << 20;
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
  struct Copy {
    std::map<std::string, Topic> topics;
    std::int64_t generation = 1;
    std::map<std::string, TimePoint> members;
    std::string holder;
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
  void Join(const HttpRequest& request, HttpResponseWriter& writer);
  void Leave(const HttpRequest& request,
             const std::shared_ptr<HttpResponseWriter>& writer);
  void Respond(HttpResponseWriter& writer, int status, const std::string& body);
  // Answers all waiting reads with 503.
  void RefuseWaiting();
  void RemoveMembers(const std::function<bool(const std::string&)>& removes);
  std::string Page(const Topic& topic, std::int64_t from) const;
  // The keys after `after`.
  std::string Newest(const Topic& topic, const std::string& after) const;

  EventLoop& loop;
  std::unique_ptr<HttpServer> server;
  bool down = false;
  bool coordinator = false;
  std::map<std::string, TimePoint> members;  // until when they belong to it
  std::string holder;                        // the member with the partition
  std::map<std::string, Topic> topics;
  Copy copy;
  std::map<std::uint64_t, WaitingRead> waiting;
  std::uint64_t next_read = 1;
  std::vector<std::unique_ptr<Timer>> leave_timers;
};

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_PLATFORM_STORE_STAND_IN_H_
