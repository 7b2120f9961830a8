#include "standins/platform/platform_store_stand_in.h"

#include <algorithm>
#include <utility>

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include "base/check.h"
#include "http_message/http_message.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

std::string Number(std::uint64_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text += static_cast<char>(value >> static_cast<unsigned>(8 * i) & 0xffU);
  }
  return text;
}

std::string EncodeBase64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::int64_t QueryNumber(const HttpRequest& request, std::string_view name) {
  const auto text = QueryValue(request.query, name);
  return text ? ParseDecimal(*text).value_or(0) : 0;
}

}  // namespace

PlatformStoreStandIn::PlatformStoreStandIn(EventLoop& loop) : loop(loop) {
  auto listening = HttpServer::Listen(
      loop, {},
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        this->Handle(request, writer);
      });
  InternalCheck(listening.has_value(), "the store stand-in listens");
  this->server = std::move(listening.value());
}

std::uint16_t PlatformStoreStandIn::Port() const {
  return this->server->Port();
}

void PlatformStoreStandIn::SetDown(bool down) {
  this->down = down;
}

void PlatformStoreStandIn::SaveCopy() {
  this->copy = {this->topics, this->generation, this->members, this->holder};
}

void PlatformStoreStandIn::RestoreCopy() {
  this->topics = this->copy.topics;
  this->generation = this->copy.generation;
  this->members = this->copy.members;
  this->holder = this->copy.holder;
  this->era = this->era.value_or(0) + 1;
  this->RefuseWaiting();
}

void PlatformStoreStandIn::RefuseWaiting() {
  for (const auto& [number, read] : std::exchange(this->waiting, {})) {
    this->Respond(*read.writer, 503, "");
  }
}

void PlatformStoreStandIn::Respond(HttpResponseWriter& writer,
                                   int status,
                                   const std::string& body) {
  HttpHeaders headers;
  if (this->era) {
    headers.push_back({"Store-Era", std::to_string(*this->era)});
  }
  writer.Respond(status, headers, body);
}

void PlatformStoreStandIn::Put(const std::string& topic,
                               const std::string& key,
                               const std::optional<std::string>& value) {
  Topic& log = this->topics[topic];
  log.records.push_back({key, value});
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    if (entry->second.topic != topic) {
      ++entry;
      continue;
    }
    this->Respond(*entry->second.writer, 200,
                  this->Page(log, entry->second.from));
    entry = this->waiting.erase(entry);
  }
}

std::map<std::string, std::string> PlatformStoreStandIn::Values(
    const std::string& topic) const {
  std::map<std::string, std::string> values;
  const auto found = this->topics.find(topic);
  if (found == this->topics.end()) {
    return values;
  }
  for (const Record& record : found->second.records) {
    values.erase(record.key);
    if (record.value) {
      values.emplace(record.key, *record.value);
    }
  }
  return values;
}

void PlatformStoreStandIn::Compact(const std::string& topic) {
  Topic& log = this->topics[topic];
  log.first = static_cast<std::int64_t>(log.records.size());
}

void PlatformStoreStandIn::Handle(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  ++this->calls[request.path];
  if (request.path == "/v1/log-newest" || request.path == "/v1/log-read") {
    ++this->reads[QueryValue(request.query, "topic").value_or("")];
  }
  if (this->down ||
      (!this->unreadable_topic.empty() &&
       QueryValue(request.query, "topic") == this->unreadable_topic)) {
    this->Respond(*writer, 503, "");
    return;
  }
  if (request.path == "/v1/log-newest") {
    const auto topic = QueryValue(request.query, "topic").value_or("");
    const auto after = QueryValue(request.query, "after").value_or("");
    this->Respond(*writer, 200, this->Newest(this->topics[topic], after));
  } else if (request.path == "/v1/log-read") {
    this->Read(request, writer);
  } else if (request.path == "/v1/log-append") {
    this->Append(request, *writer);
  } else if (request.path == "/v1/log-join") {
    this->Join(request, *writer);
  } else if (request.path == "/v1/log-leave") {
    this->Leave(request, writer);
  } else {
    this->Respond(*writer, 200, "{}");
  }
}

void PlatformStoreStandIn::Join(const HttpRequest& request,
                                HttpResponseWriter& writer) {
  const TimePoint now = EventLoop::Now();
  this->joins.push_back(now);
  const json body = json::parse(request.body);
  const auto member = body.at("member").get<std::string>();
  if (this->knows_members) {
    this->RemoveMembers([this, now](const std::string& other) {
      return this->members.at(other) < now;
    });
    const Duration time_to_live =
        Milliseconds(body.at("ttl_ms").get<std::int64_t>());
    const bool is_new =
        this->members.insert_or_assign(member, now + time_to_live).second;
    this->generation += is_new ? 1 : 0;
    this->holder = this->holder.empty() ? member : this->holder;
  }
  json parts = json::array();
  if (this->knows_members ? member == this->holder : this->coordinator) {
    parts.push_back({"coordinator", this->given_partition, 0});
  }
  this->Respond(
      writer, 200,
      json{{"generation", this->generation}, {"parts", parts}}.dump());
}

void PlatformStoreStandIn::Leave(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  const auto member = json::parse(request.body).at("member").get<std::string>();
  this->RemoveMembers(
      [&member](const std::string& other) { return other == member; });
  this->leave_timers.push_back(std::make_unique<Timer>(
      this->loop, this->leave_delay, Duration(0),
      [this, writer] { this->Respond(*writer, 200, "{}"); }));
}

void PlatformStoreStandIn::RemoveMembers(
    const std::function<bool(const std::string&)>& removes) {
  const auto removed = std::erase_if(
      this->members,
      [&removes](const auto& entry) { return removes(entry.first); });
  this->generation += removed > 0 ? 1 : 0;
  if (!this->members.contains(this->holder)) {
    this->holder = this->members.empty() ? "" : this->members.begin()->first;
  }
}

void PlatformStoreStandIn::Reassign() {
  const auto other = std::ranges::find_if(
      this->members,
      [this](const auto& entry) { return entry.first != this->holder; });
  InternalCheck(other != this->members.end(), "the group has another member");
  this->holder = other->first;
  ++this->generation;
}

// The body holds one record of a keyed topic.
void PlatformStoreStandIn::Append(const HttpRequest& request,
                                  HttpResponseWriter& writer) {
  constexpr std::size_t kHeadBytes = 5;
  const auto topic = QueryValue(request.query, "topic").value_or("");
  const std::string& body = request.body;
  const std::size_t key_size =
      body.size() < kHeadBytes ? 0 : static_cast<unsigned char>(body[4]);
  const bool whole = body.size() >= kHeadBytes + key_size &&
                     body.substr(0, 4) == Number(body.size() - 4, 4);
  if (!topic.starts_with("keyed.") || topic == "keyed.op" ||
      topic == "keyed.servers" || !whole) {
    this->Respond(writer, 403, "");
    return;
  }
  const std::size_t offset = this->topics[topic].records.size();
  this->Put(topic, body.substr(kHeadBytes, key_size),
            body.substr(kHeadBytes + key_size));
  this->Respond(writer, 200,
                json{{"offset", offset}, {"end", offset + 1}}.dump());
}

void PlatformStoreStandIn::Read(
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  const auto topic = QueryValue(request.query, "topic").value_or("");
  const std::int64_t from = QueryNumber(request, "from");
  const Topic& log = this->topics[topic];
  if (from < log.first ||
      from > static_cast<std::int64_t>(log.records.size())) {
    this->Respond(*writer, 410, json{{"first", log.first}}.dump());
    return;
  }
  if (from < static_cast<std::int64_t>(log.records.size())) {
    this->Respond(*writer, 200, this->Page(log, from));
    return;
  }
  const std::uint64_t number = this->next_read++;
  auto timer = std::make_unique<Timer>(
      this->loop, Milliseconds(QueryNumber(request, "wait_ms")), Duration(0),
      [this, number] {
        const auto found = this->waiting.find(number);
        if (found != this->waiting.end()) {
          const WaitingRead read = std::move(found->second);
          this->waiting.erase(found);
          this->Respond(*read.writer, 200,
                        this->Page(this->topics[read.topic], read.from));
        }
      });
  this->waiting.emplace(number,
                        WaitingRead{topic, from, writer, std::move(timer)});
}

std::string PlatformStoreStandIn::Page(const Topic& topic,
                                       std::int64_t from) const {
  std::string page = Number(topic.records.size(), 8) +
                     Number(static_cast<std::uint64_t>(topic.first), 8);
  for (std::size_t i = static_cast<std::size_t>(from); i < topic.records.size();
       ++i) {
    const Record& record = topic.records[i];
    const std::string content =
        Number(record.key.size(), 1) + record.key + record.value.value_or("");
    if (i > static_cast<std::size_t>(from) &&
        page.size() + content.size() > this->page_bytes) {
      break;
    }
    page += Number(content.size(), 4) + content;
  }
  return page;
}

std::string PlatformStoreStandIn::Newest(const Topic& topic,
                                         const std::string& after) const {
  constexpr std::size_t kMaxItems = 500;
  std::map<std::string, std::size_t> offsets;
  for (std::size_t i = 0; i < topic.records.size(); ++i) {
    const Record& record = topic.records[i];
    if (record.value) {
      offsets[record.key] = i;
    } else {
      offsets.erase(record.key);
    }
  }
  json list = json::array();
  std::size_t bytes = 0;
  auto entry = offsets.upper_bound(after);
  for (; entry != offsets.end() && list.size() < kMaxItems; ++entry) {
    const std::string value = EncodeBase64(*topic.records[entry->second].value);
    bytes += value.size();
    if (!list.empty() && bytes > this->page_bytes) {
      break;
    }
    list.push_back(
        {{"key", entry->first}, {"value", value}, {"offset", entry->second}});
  }
  return json{{"items", list},
              {"has_more", entry != offsets.end()},
              {"end", topic.records.size()}}
      .dump();
}

}  // namespace toucanhollow
