#include "relay/peer_task.h"

#include <algorithm>
#include <utility>

#include "http_message/http_message.h"
#include "json_log/json_log.h"
#include "relay/peer_codec.h"

namespace toucanhollow {
namespace {

// Reports are as frequent as a host can afford: each peer costs a datagram.
constexpr Duration kReportPeriod = Milliseconds(60);
// Above this many peers the period grows with their number.
constexpr int kPeersAtFullRate = 8;
// Unchanged loads are repeated, so that others know that the host lives.
constexpr Duration kRepeatPeriod = Milliseconds(500);
// A host that has not been heard this long no longer shares the bounds.
constexpr Duration kPeerLifetime = Seconds(10);
// While the store fails, peers are asked this often.
constexpr Duration kFetchPeriod = Milliseconds(350);
// Otherwise the exchange only spreads the hosts' addresses.
constexpr Duration kCalmFetchPeriod = Seconds(5);
// After its start a host learns of the others within this time, at the faster
// pace. All may have started at once, so the first answers name few.
constexpr Duration kSettlingTime = Seconds(3);
// Hosts that share the bounds are taken to be this many meanwhile.
constexpr int kHostsWhileSettling = 40;
constexpr Duration kFetchTimeout = Milliseconds(800);

std::string FormatUrl(const std::string& ip,
                      std::uint16_t port,
                      LogOffset operator_from,
                      LogOffset server_from) {
  return "http://" + ip + ":" + std::to_string(port) +
         "/belief?operator=" + std::to_string(operator_from) +
         "&servers=" + std::to_string(server_from);
}

LogOffset QueryOffset(const std::string& query, std::string_view name) {
  const auto text = QueryValue(query, name);
  return text ? ParseDecimal(*text).value_or(0) : 0;
}

SharedRecords Share(const KeyedMirror& mirror, LogOffset from) {
  return {RecordsFrom(mirror, from), mirror.end};
}

}  // namespace

PeerTask::PeerTask(EventLoop& loop,
                   HttpClient& client,
                   const RelaySettings& settings,
                   BeliefTask& beliefs,
                   Dispatcher& dispatcher)
    : loop(loop),
      client(client),
      settings(settings),
      beliefs(beliefs),
      dispatcher(dispatcher),
      incarnation(static_cast<std::uint64_t>(
          EventLoop::WallNow().time_since_epoch().count())) {
  for (const Address& seed : settings.seeds) {
    if (seed.ip != settings.control.ip) {
      this->peers.emplace(seed.ip, Peer{});
    }
  }
}

PeerTask::~PeerTask() {
  for (const auto& [serial, call] : this->fetches) {
    this->client.Cancel(call);
  }
}

Result<bool> PeerTask::Start() {
  HttpServerOptions options;
  options.address = this->settings.control.ip;
  options.port = this->settings.control.port;
  options.max_connections = 64;
  auto listening = HttpServer::Listen(
      this->loop, options,
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        this->Answer(request, *writer);
      });
  BOOST_OUTCOME_TRY(opened, std::move(listening));
  this->server = std::move(opened);
  auto bound = DatagramSocket::Bind(
      this->loop, {this->settings.control.ip, this->settings.report_port},
      [this](const Address& from, std::string_view bytes) {
        this->OnDatagram(from, bytes);
      });
  BOOST_OUTCOME_TRY(socket, std::move(bound));
  this->socket = std::move(socket);
  this->started_at = EventLoop::Now();
  this->dispatcher.SetHostCount(kHostsWhileSettling);
  this->report_timer =
      std::make_unique<Timer>(this->loop, kReportPeriod, kReportPeriod,
                              [this] { this->SendReports(); });
  this->fetch_timer = std::make_unique<Timer>(
      this->loop, Milliseconds(20), kFetchPeriod, [this] { this->Fetch(); });
  return true;
}

void PeerTask::Hear(const std::string& ip) {
  Peer& peer = this->peers[ip];
  peer.heard_at = EventLoop::Now();
  if (!std::exchange(peer.heard, true)) {
    LogJsonNow("peer_heard", {{"peer", std::string_view(ip)}});
  }
}

bool PeerTask::IsSettling(TimePoint now) const {
  return now - this->started_at < kSettlingTime;
}

std::vector<std::string> PeerTask::HeardHosts(TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto& [ip, peer] : this->peers) {
    if (peer.heard && now - peer.heard_at <= kPeerLifetime) {
      hosts.push_back(ip);
    }
  }
  return hosts;
}

void PeerTask::OnDatagram(const Address& from, std::string_view bytes) {
  const Result<HostLoadReport> report = DecodeLoadReport(bytes);
  if (!report) {
    LogJsonNow("load_report_malformed", {{"peer", std::string_view(from.ip)}});
    return;
  }
  this->Hear(from.ip);
  this->dispatcher.TakeLoadReport(from.ip, report.value());
}

void PeerTask::SendReports() {
  const TimePoint now = EventLoop::Now();
  const std::vector<std::string> hosts = this->HeardHosts(now);
  const int heard = static_cast<int>(hosts.size()) + 1;
  this->dispatcher.SetHostCount(
      this->IsSettling(now) ? std::max(heard, kHostsWhileSettling) : heard);
  const auto crowd = std::max<std::size_t>(hosts.size() / kPeersAtFullRate, 1);
  HostLoadReport report = this->dispatcher.MakeLoadReport();
  report.incarnation = this->incarnation;
  report.sequence = 0;
  std::string loads = EncodeLoadReport(report);
  const bool changed = loads != this->last_loads;
  const Duration period =
      changed ? kReportPeriod * static_cast<Duration::rep>(crowd)
              : kRepeatPeriod;
  if (now - this->last_report_at < period) {
    return;
  }
  this->last_report_at = now;
  this->last_loads = std::move(loads);
  report.sequence = ++this->sequence;
  const std::string bytes = EncodeLoadReport(report);
  for (const auto& [ip, peer] : this->peers) {
    // Seeds that were never heard are tried too: they may start later.
    if (peer.heard && now - peer.heard_at > kPeerLifetime) {
      continue;
    }
    // A lost report is replaced by the next one.
    this->socket->Send({ip, this->settings.report_port}, bytes);
  }
}

void PeerTask::Fetch() {
  const TimePoint now = EventLoop::Now();
  const StoreContact& contact = this->beliefs.belief().contact;
  const bool failing =
      !contact.answered_at ||
      (contact.failed_at && *contact.failed_at > *contact.answered_at);
  const bool often = failing || this->IsSettling(now);
  const Duration period = often ? kFetchPeriod : kCalmFetchPeriod;
  const bool first = this->last_fetch_at == TimePoint();
  if (!first && now - this->last_fetch_at < period) {
    return;
  }
  this->last_fetch_at = now;
  std::vector<std::string> candidates = this->HeardHosts(now);
  if (candidates.empty() || first) {
    candidates.clear();
    for (const auto& [ip, peer] : this->peers) {
      candidates.push_back(ip);
    }
  }
  if (candidates.empty()) {
    return;
  }
  if (first) {
    for (const std::string& ip : candidates) {
      this->FetchFrom(ip);
    }
    return;
  }
  this->FetchFrom(candidates[this->next_peer++ % candidates.size()]);
}

void PeerTask::FetchFrom(const std::string& ip) {
  const LogOffset operator_from =
      this->beliefs.mirror(KeyedTopic::kOperator).end;
  const LogOffset server_from = this->beliefs.mirror(KeyedTopic::kServers).end;
  HttpCall call;
  call.url =
      FormatUrl(ip, this->settings.control.port, operator_from, server_from);
  call.connect_timeout = kFetchTimeout;
  call.total_timeout = kFetchTimeout;
  const std::uint64_t serial = ++this->fetch_serial;
  const TimePoint asked_at = EventLoop::Now();
  this->fetches[serial] = this->client.Start(
      std::move(call), {nullptr, nullptr,
                        [this, ip, operator_from, server_from, asked_at,
                         serial](const HttpOutcome& outcome) {
                          this->fetches.erase(serial);
                          this->OnReply(ip, outcome, operator_from, server_from,
                                        asked_at);
                        }});
}

void PeerTask::OnReply(const std::string& ip,
                       const HttpOutcome& outcome,
                       LogOffset operator_from,
                       LogOffset server_from,
                       TimePoint asked_at) {
  if (outcome.end != HttpEnd::kComplete || outcome.status != 200) {
    return;
  }
  const Result<BeliefReply> reply = DecodeBeliefReply(outcome.body);
  if (!reply) {
    LogJsonNow("peer_answer_malformed", {{"peer", std::string_view(ip)}});
    return;
  }
  this->Hear(ip);
  for (const std::string& host : reply.value().hosts) {
    if (host != this->settings.control.ip) {
      this->peers.try_emplace(host);
    }
  }
  if (!reply.value().age) {
    return;
  }
  const TimePoint confirmed_at = asked_at - *reply.value().age;
  this->beliefs.TakeFromPeer(
      KeyedTopic::kOperator, reply.value().operator_records.records,
      operator_from, reply.value().operator_records.end, confirmed_at);
  this->beliefs.TakeFromPeer(KeyedTopic::kServers,
                             reply.value().server_records.records, server_from,
                             reply.value().server_records.end, confirmed_at);
}

void PeerTask::Answer(const HttpRequest& request, HttpResponseWriter& writer) {
  const TimePoint now = EventLoop::Now();
  BeliefReply reply;
  reply.operator_records = Share(this->beliefs.mirror(KeyedTopic::kOperator),
                                 QueryOffset(request.query, "operator"));
  reply.server_records = Share(this->beliefs.mirror(KeyedTopic::kServers),
                               QueryOffset(request.query, "servers"));
  if (const auto& confirmed = this->beliefs.belief().traffic_confirmed_at) {
    reply.age = now - *confirmed;
  }
  reply.hosts = this->HeardHosts(now);
  writer.Respond(200, {{"Content-Type", "application/cbor"}},
                 EncodeBeliefReply(reply));
}

}  // namespace toucanhollow
