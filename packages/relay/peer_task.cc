#include "relay/peer_task.h"

#include <algorithm>
#include <utility>

#include "http_message/http_message.h"
#include "json_log/json_log.h"
#include "permit/leased_issuer.h"
#include "permit/permit_codec.h"
#include "relay/crash_report_codec.h"
#include "relay/peer_codec.h"

namespace toucanhollow {
namespace {

// Period of reports whose loads changed. It is as short as a host can afford,
// because each report is one datagram to each peer.
constexpr Duration kReportPeriod = Milliseconds(60);
// With more peers the period grows in proportion to their number.
constexpr int kPeersAtFullRate = 8;
// Period of reports whose loads did not change. They serve as heartbeats.
constexpr Duration kUnchangedReportPeriod = Milliseconds(500);
// A peer that has sent nothing for this long is no longer sent load reports.
constexpr Duration kPeerLifetime = Seconds(10);
// A host that has been silent for this long counts as ended. One that is cut
// off for less may hold the issuer's lease unheard.
constexpr Duration kEndedHostSilence = Seconds(600);
// Period of fetches from peers while reads of the store fail.
constexpr Duration kFetchPeriod = Milliseconds(350);
// Period of fetches while the store answers; they then only spread the
// addresses of the hosts.
constexpr Duration kIdleFetchPeriod = Seconds(5);
// For this long after its start, a host fetches at the shorter period to learn
// the other hosts. If all hosts start at once, the first replies list few.
constexpr Duration kDiscoveryTime = Seconds(3);
constexpr Duration kFetchTimeout = Milliseconds(800);

// Query field of hosts that read what a batch covers.
constexpr std::string_view kReadsCoverage = "reads_coverage";
// Query field of hosts that read eras: the era of the position in a topic.
constexpr std::string_view kEraSuffix = "_era";
constexpr std::string_view kOperatorTopic = "operator";
constexpr std::string_view kServerTopic = "servers";

std::string FormatPosition(std::string_view topic, StorePosition from) {
  const std::string name(topic);
  return name + "=" + std::to_string(from.number) + "&" + name +
         std::string(kEraSuffix) + "=" + std::to_string(from.era.value);
}

std::string FormatUrl(const std::string& ip,
                      std::uint16_t port,
                      StorePosition operator_from,
                      StorePosition server_from) {
  return "http://" + ip + ":" + std::to_string(port) + "/belief?" +
         FormatPosition(kOperatorTopic, operator_from) + "&" +
         FormatPosition(kServerTopic, server_from) + "&" +
         std::string(kReadsCoverage) + "=1";
}

std::int64_t ParseNumber(const std::string& query, const std::string& name) {
  const auto text = QueryValue(query, name);
  return text ? ParseDecimal(*text).value_or(0) : 0;
}

RecordBatch MakeBatchFor(const HttpRequest& request,
                         std::string_view topic,
                         const KeyedMirror& mirror) {
  const std::string name(topic);
  const std::string era_name = name + std::string(kEraSuffix);
  const StorePosition from{StoreEra{ParseNumber(request.query, era_name)},
                           ParseNumber(request.query, name)};
  RecordBatch batch = MakeBatch(mirror, from);
  if (mirror.end.era != StoreEra{} && !QueryValue(request.query, era_name)) {
    // A host of an earlier version compares offsets of two eras, so its
    // position must not move.
    batch.coverage = BatchCoverage::kSomeRecords;
    batch.end = {StoreEra{}, std::min(batch.end.number, from.number)};
    return batch;
  }
  if (batch.coverage != BatchCoverage::kChanges &&
      !QueryValue(request.query, kReadsCoverage)) {
    // A host of an earlier version takes every batch for all changes up to its
    // end.
    batch.end = std::min(batch.end, from);
  }
  return batch;
}

// Differs for reports that state something else, whenever they are sent.
std::string EncodeWithoutAges(HostLoadReport report) {
  for (ReportedLimit& reported : report.limits) {
    reported.limit.age = Duration(0);
  }
  return EncodeLoadReport(report);
}

}  // namespace

PeerTask::PeerTask(EventLoop& loop,
                   HttpClient& client,
                   const RelaySettings& settings,
                   PlatformViewTask& view_task,
                   Dispatcher& dispatcher,
                   PromptQuarantine& quarantine)
    : loop(loop),
      client(client),
      settings(settings),
      view_task(view_task),
      dispatcher(dispatcher),
      quarantine(quarantine),
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
  options.max_body_bytes = 0;
  options.receive_bytes = kSmallReceiveBytes;
  options.closes_idle_when_full = true;
  auto listening = HttpServer::Listen(
      this->loop, options,
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        this->RespondToFetch(request, *writer);
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
  this->join_answered_at = this->started_at;
  this->host_count.started_at = this->started_at;
  this->host_count.expects_others = !this->peers.empty();
  this->report_timer =
      std::make_unique<Timer>(this->loop, kReportPeriod, kReportPeriod,
                              [this] { this->SendReports(); });
  this->fetch_timer = std::make_unique<Timer>(
      this->loop, Milliseconds(20), kFetchPeriod, [this] { this->Fetch(); });
  return true;
}

void PeerTask::RecordPeerContact(const std::string& ip) {
  Peer& peer = this->peers[ip];
  peer.last_contact_at = EventLoop::Now();
  if (!std::exchange(peer.had_contact, true)) {
    LogJsonNow("peer_heard", {{"peer", std::string_view(ip)}});
  }
}

bool PeerTask::IsDiscovering(TimePoint now) const {
  return now - this->started_at < kDiscoveryTime;
}

std::vector<std::string> PeerTask::ListLivePeers(TimePoint now) const {
  std::vector<std::string> hosts;
  for (const auto& [ip, peer] : this->peers) {
    if (peer.had_contact && now - peer.last_contact_at <= kPeerLifetime) {
      hosts.push_back(ip);
    }
  }
  return hosts;
}

void PeerTask::OnPermitRequest(const Address& from, std::string_view bytes) {
  const TimePoint now = EventLoop::Now();
  this->UpdateSharing();
  const bool shares =
      this->shared_issuer.hosts && from.ip == this->settings.control.ip;
  const Result<std::string> reply =
      shares
          ? AnswerSharedRequest(this->shared_issuer, bytes, kNoIssuerWait, now)
          : AnswerLeasedRequest(this->permit_issuer, from, bytes,
                                EventLoop::BootNow(), now);
  if (!reply) {
    LogJsonNow("permit_request_malformed",
               {{"from", std::string_view(from.ip)},
                {"detail", std::string_view(reply.error().detail)}});
    return;
  }
  if (!reply.value().empty()) {
    this->socket->Send(from, reply.value());
  }
}

void PeerTask::OnDatagram(const Address& from, std::string_view bytes) {
  if (IsPermitMessage(bytes)) {
    this->OnPermitRequest(from, bytes);
    return;
  }
  if (IsCrashReport(bytes)) {
    const Result<bool> read = this->quarantine.OnReport(bytes);
    if (!read) {
      LogJsonNow("crash_report_malformed",
                 {{"peer", std::string_view(from.ip)},
                  {"detail", std::string_view(read.error().detail)}});
      return;
    }
    this->RecordPeerContact(from.ip);
    return;
  }
  const Result<HostLoadReport> report = DecodeLoadReport(bytes);
  if (!report) {
    LogJsonNow("load_report_malformed", {{"peer", std::string_view(from.ip)}});
    return;
  }
  this->RecordPeerContact(from.ip);
  this->dispatcher.UpdatePeerLoad(from.ip, report.value());
  this->quarantine.OnPeerDigest(from.ip, report.value().quarantine_digest,
                                EventLoop::Now());
}

void PeerTask::Broadcast(const std::string& bytes) {
  for (const std::string& ip : this->ListLivePeers(EventLoop::Now())) {
    this->Send(ip, bytes);
  }
}

void PeerTask::Send(const std::string& ip, const std::string& bytes) {
  this->socket->Send({ip, this->settings.report_port}, bytes);
}

void PeerTask::OnJoined(const JoinAnswer& answer) {
  this->joined_at = answer.asked_at;
  this->join_answered_at = EventLoop::Now();
  const IssuerLease before = this->permit_issuer.lease;
  const IssuerLease lease = RenewLease(before, answer);
  this->permit_issuer.lease = lease;
  if (lease.issues_from != before.issues_from) {
    LogJsonNow("permit_issuer_changed",
               {{"is_issuer", lease.is_holder},
                {"era", lease.generation.era.value},
                {"generation", lease.generation.number}});
  }
  this->UpdateIssuing();
}

void PeerTask::UpdateIssuing() {
  const StorePosition generation =
      IssuingGeneration(this->permit_issuer.lease, EventLoop::BootNow());
  if (generation == StorePosition{}) {
    // The other hosts may use their shares until the lease is renewed.
    this->permit_issuer.ledger_begun_for.reset();
  }
  this->dispatcher.SetIssuerGeneration(generation);
}

bool PeerTask::IsAnyHostSilent(TimePoint now) const {
  return std::ranges::any_of(this->peers, [this, now](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.had_contact && now - peer.last_contact_at > kReportLifetime &&
           this->join_answered_at - peer.last_contact_at <= kEndedHostSilence;
  });
}

void PeerTask::UpdateSharing() {
  const TimePoint now = EventLoop::Now();
  IssuerContact contact;
  contact.joined_at = this->joined_at;
  contact.reads_store = HasStoreContact(this->view_task.view());
  contact.issuer_heard = this->dispatcher.HearsIssuer(now);
  contact.host_silent = this->IsAnyHostSilent(now);
  contact.hosts = FindHostCount(this->host_count, now);
  const std::optional<int> hosts =
      FindSharingHosts(contact, EventLoop::BootNow());
  if (hosts.has_value() != this->shared_issuer.hosts.has_value()) {
    LogJsonNow("limit_sharing_changed",
               {{"hosts", std::int64_t{hosts.value_or(0)}}});
  }
  SetSharingHosts(this->shared_issuer, hosts, now);
}

void PeerTask::SendReports() {
  const TimePoint now = EventLoop::Now();
  this->UpdateIssuing();
  const std::vector<std::string> hosts = this->ListLivePeers(now);
  this->host_count =
      RecordHosts(this->host_count, static_cast<int>(hosts.size()) + 1);
  this->dispatcher.SetHostCount(FindHostCount(this->host_count, now));
  this->UpdateSharing();
  const auto period_factor =
      std::max<std::size_t>(hosts.size() / kPeersAtFullRate, 1);
  HostLoadReport report = this->dispatcher.MakeLoadReport(now);
  report.incarnation = this->incarnation;
  report.quarantine_digest = this->quarantine.Digest(now);
  report.sequence = 0;
  std::string loads = EncodeWithoutAges(report);
  const bool changed = loads != this->last_sent_loads;
  const Duration period =
      changed ? kReportPeriod * static_cast<Duration::rep>(period_factor)
              : kUnchangedReportPeriod;
  // Hosts keep to a limit together only once they know of it.
  const std::uint64_t limit_changes = this->dispatcher.own_limit_changes();
  if (now - this->last_report_at < period &&
      limit_changes == this->last_sent_limit_changes) {
    return;
  }
  this->last_sent_limit_changes = limit_changes;
  this->last_report_at = now;
  this->last_sent_loads = std::move(loads);
  report.sequence = ++this->sequence;
  const std::string bytes = EncodeLoadReport(report);
  for (const auto& [ip, peer] : this->peers) {
    // Peers that never sent anything are included, because they may start
    // later.
    if (peer.had_contact && now - peer.last_contact_at > kPeerLifetime) {
      continue;
    }
    // Lost reports are not repeated: the next one replaces them.
    this->socket->Send({ip, this->settings.report_port}, bytes);
  }
}

void PeerTask::Fetch() {
  const TimePoint now = EventLoop::Now();
  const PlatformView& view = this->view_task.view();
  // After a restore, others may know what the copy lacks.
  const bool entered_era =
      view.era_entered_at && now - *view.era_entered_at < kDiscoveryTime;
  const bool frequent =
      !HasStoreContact(view) || this->IsDiscovering(now) || entered_era;
  const Duration period = frequent ? kFetchPeriod : kIdleFetchPeriod;
  const bool first = this->last_fetch_at == TimePoint();
  // The timer fires a little early or late.
  if (!first && now - this->last_fetch_at < period - kFetchPeriod / 2) {
    return;
  }
  this->last_fetch_at = now;
  std::vector<std::string> candidates = this->ListLivePeers(now);
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
  const StorePosition operator_from =
      this->view_task.mirror(KeyedTopic::kOperator).end;
  const StorePosition server_from =
      this->view_task.mirror(KeyedTopic::kServers).end;
  HttpCall call;
  call.url =
      FormatUrl(ip, this->settings.control.port, operator_from, server_from);
  call.connection = ConnectionUse::kOwn;
  call.connect_timeout = kFetchTimeout;
  call.total_timeout = kFetchTimeout;
  const std::uint64_t serial = ++this->fetch_serial;
  const TimePoint requested_at = EventLoop::Now();
  this->fetches[serial] = this->client.Start(
      std::move(call),
      {nullptr, nullptr,
       [this, ip, requested_at, serial](const HttpOutcome& outcome) {
         this->fetches.erase(serial);
         this->OnReply(ip, outcome, requested_at);
       }});
}

void PeerTask::OnReply(const std::string& ip,
                       const HttpOutcome& outcome,
                       TimePoint requested_at) {
  if (outcome.end != HttpEnd::kComplete || outcome.status != 200) {
    return;
  }
  const Result<PeerViewReply> reply = DecodePeerViewReply(outcome.body);
  if (!reply) {
    LogJsonNow("peer_answer_malformed", {{"peer", std::string_view(ip)}});
    return;
  }
  this->RecordPeerContact(ip);
  bool all_read = true;
  for (const std::string& bytes : reply.value().crash_reports) {
    const Result<bool> read = this->quarantine.OnReport(bytes);
    if (!read) {
      all_read = false;
      LogJsonNow("crash_report_malformed",
                 {{"peer", std::string_view(ip)},
                  {"detail", std::string_view(read.error().detail)}});
    }
  }
  if (reply.value().knows_crashes && all_read) {
    this->quarantine.MarkKnown();
  }
  for (const std::string& host : reply.value().hosts) {
    if (host != this->settings.control.ip) {
      this->peers.try_emplace(host);
    }
  }
  if (!reply.value().age) {
    return;
  }
  const TimePoint confirmed_at = requested_at - *reply.value().age;
  this->view_task.MergeFromPeer(KeyedTopic::kOperator,
                                reply.value().operator_records, confirmed_at);
  this->view_task.MergeFromPeer(KeyedTopic::kServers,
                                reply.value().server_records, confirmed_at);
}

void PeerTask::RespondToFetch(const HttpRequest& request,
                              HttpResponseWriter& writer) {
  const TimePoint now = EventLoop::Now();
  PeerViewReply reply;
  reply.operator_records = MakeBatchFor(
      request, kOperatorTopic, this->view_task.mirror(KeyedTopic::kOperator));
  reply.server_records = MakeBatchFor(
      request, kServerTopic, this->view_task.mirror(KeyedTopic::kServers));
  if (const auto& confirmed = this->view_task.view().traffic_confirmed_at) {
    reply.age = now - *confirmed;
  }
  reply.hosts = this->ListLivePeers(now);
  reply.crash_reports = this->quarantine.EncodeAll(now);
  reply.knows_crashes = this->quarantine.is_known();
  writer.Respond(200, {{"Content-Type", "application/cbor"}},
                 EncodePeerViewReply(reply));
}

}  // namespace toucanhollow
