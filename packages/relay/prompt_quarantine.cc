#include "relay/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

#include "base/hash.h"
#include "json_log/json_log.h"
#include "relay/crash_report_codec.h"

namespace toucanhollow {
namespace {

// A server that still runs after it broke off a request is not checked again
// for this long.
constexpr Duration kCheckPause = Milliseconds(500);
// Hosts that can prove parts sound tell so at a random time within this span.
// Most find that another one has told the same.
constexpr Duration kProofSpread = Milliseconds(200);
// Datagrams may be under way for this long, so that digests differ.
constexpr Duration kSettlingTime = Milliseconds(400);
// A host that knows something else is told everything at most this often.
constexpr Duration kRepairPeriod = Seconds(1);
constexpr std::size_t kMaxNames = 1024;
// Of a log line, and of a record in the store. More parts are convicted
// together only until one of them is tested without the others.
constexpr std::size_t kMaxDescribedParts = 64;
constexpr std::size_t kMaxNameBytes = std::size_t{1024} * 1024;

}  // namespace

std::uint32_t HashAddress(const Address& address) {
  return static_cast<std::uint32_t>(
      HashText(address.ip + ":" + std::to_string(address.port)));
}

PromptQuarantine::PromptQuarantine(EventLoop& loop, Metrics& metrics)
    : loop(loop),
      metrics(metrics),
      next_seed(static_cast<std::uint64_t>(
          EventLoop::WallNow().time_since_epoch().count())) {}

void PromptQuarantine::SetCallbacks(QuarantineCallbacks callbacks) {
  this->callbacks = std::move(callbacks);
}

void PromptQuarantine::After(Duration delay, std::function<void()> action) {
  const std::uint64_t number = this->next_timer++;
  this->timers[number] = std::make_unique<Timer>(
      this->loop, delay, Duration(0),
      [this, number, action = std::move(action)] {
        action();
        Post(this->loop,
             [this, number, token = std::weak_ptr<int>(this->alive)] {
               if (!token.expired()) {
                 this->timers.erase(number);
               }
             });
      });
}

void PromptQuarantine::Update(TimePoint now) {
  if (now < this->quarantine.valid_until) {
    return;
  }
  const std::vector<Quarantine> before = this->quarantine.quarantines;
  UpdateVerdicts(this->quarantine, now);
  this->LogQuarantines(before, now);
}

PromptJudgement PromptQuarantine::Judge(const std::vector<PartId>& parts,
                                        AccountHash account,
                                        TimePoint now) {
  this->Update(now);
  return JudgeRequest(this->quarantine, parts, account, now);
}

AttemptTicket PromptQuarantine::AddAttempt(const ListedServer& server,
                                           PromptAttempt attempt) {
  const AttemptTicket ticket{
      {HashAddress(server.address), server.start_time_ms},
      this->next_attempt++};
  attempt.last_crash_number = this->quarantine.last_number;
  toucanhollow::AddAttempt(this->attempts, ticket.server, ticket.number,
                           std::move(attempt));
  return ticket;
}

void PromptQuarantine::MarkBegun(const AttemptTicket& ticket, TimePoint now) {
  const PromptAttempt attempt =
      this->attempts.servers.at(ticket.server).at(ticket.number);
  if (attempt.began_at) {
    return;
  }
  toucanhollow::MarkBegun(this->attempts, ticket.server, ticket.number, now);
  const std::vector<ServerIncarnation> changed =
      MarkAnswered(this->quarantine, attempt.parts, attempt.last_crash_number);
  if (!changed.empty()) {
    const std::string parts = this->DescribeParts(attempt.parts);
    LogJsonNow("prompt_parts_answered",
               {{"parts", std::string_view(parts)},
                {"crashes", static_cast<std::int64_t>(changed.size())},
                {"tested", !attempt.isolated.empty()}});
    this->TellChanges(changed, now);
  }
  AddAnswer(this->begun, ticket.number,
            {ticket.server, attempt.parts, attempt.last_crash_number, now});
}

void PromptQuarantine::TellChanges(
    const std::vector<ServerIncarnation>& changed,
    TimePoint now) {
  for (const ServerIncarnation& crash : changed) {
    this->Tell(crash, now);
  }
  if (!changed.empty()) {
    this->NotifyChange();
  }
}

void PromptQuarantine::RecordProofs(TimePoint now) {
  RecordSurvivedAnswers(this->begun, this->sound, this->quarantine, now);
  const std::vector<ServerIncarnation> changed =
      ClearSurvivedParts(this->begun, this->quarantine, now);
  if (!changed.empty()) {
    LogJsonNow("prompt_parts_cleared",
               {{"crashes", static_cast<std::int64_t>(changed.size())}});
    this->TellChanges(changed, now);
  }
}

void PromptQuarantine::EndAttempt(const AttemptTicket& ticket,
                                  AttemptResult result,
                                  TimePoint now) {
  toucanhollow::EndAttempt(this->attempts, ticket.server, ticket.number, result,
                           now);
  if (result == AttemptResult::kLost) {
    RemoveAnswer(this->begun, ticket.number);
  }
  const auto crash = this->quarantine.crashes.find(ticket.server);
  if (result == AttemptResult::kLost &&
      crash != this->quarantine.crashes.end()) {
    this->ReportCrash(ticket.server, crash->second.record.service, now);
  }
}

void PromptQuarantine::CheckServer(const ListedServer& server,
                                   std::function<void()> done) {
  const TimePoint now = EventLoop::Now();
  const ServerIncarnation incarnation{HashAddress(server.address),
                                      server.start_time_ms};
  const CrashRecord candidates =
      FindCandidates(this->attempts, incarnation, 0, now);
  if (candidates.candidates.empty() ||
      this->quarantine.crashes.contains(incarnation)) {
    done();
    return;
  }
  Check& check = this->checks[incarnation];
  if (check.running) {
    check.again = true;
    check.waiting.push_back(std::move(done));
    return;
  }
  if (now < check.not_before) {
    if (!std::exchange(check.again, true)) {
      this->After(check.not_before - now,
                  [this, server] { this->CheckServer(server, [] {}); });
    }
    done();
    return;
  }
  check.waiting.push_back(std::move(done));
  this->StartCheck(server);
}

void PromptQuarantine::StartCheck(const ListedServer& server) {
  Check& check =
      this->checks[{HashAddress(server.address), server.start_time_ms}];
  check.running = true;
  check.again = false;
  this->callbacks.check_engine(
      server, [this, server,
               token = std::weak_ptr<int>(this->alive)](EngineState state) {
        if (!token.expired()) {
          this->OnChecked(server, state);
        }
      });
}

void PromptQuarantine::OnChecked(const ListedServer& server,
                                 EngineState state) {
  const TimePoint now = EventLoop::Now();
  const ServerIncarnation incarnation{HashAddress(server.address),
                                      server.start_time_ms};
  Check& check = this->checks[incarnation];
  check.running = false;
  check.not_before = now + kCheckPause;
  const std::vector<std::function<void()>> waiting =
      std::exchange(check.waiting, {});
  if (state == EngineState::kEnded) {
    this->metrics.Count("server_crashes_total");
    this->ReportCrash(
        incarnation, static_cast<std::uint32_t>(HashText(server.service.value)),
        now);
    const auto crash = this->quarantine.crashes.find(incarnation);
    if (crash != this->quarantine.crashes.end()) {
      std::vector<PartId> parts;
      for (const CrashCandidate& candidate : crash->second.record.candidates) {
        parts.push_back(candidate.part);
      }
      const std::string described = this->DescribeParts(parts);
      LogJsonNow("server_crashed",
                 {{"server", std::string_view(server.id)},
                  {"born_ms", server.start_time_ms},
                  {"suspect_parts", std::string_view(described)}});
    }
  } else if (check.again) {
    check.again = false;
    this->CheckServer(server, [] {});
  }
  for (const auto& done : waiting) {
    done();
  }
}

void PromptQuarantine::ReportCrash(const ServerIncarnation& server,
                                   std::uint32_t service,
                                   TimePoint now) {
  CrashReport report;
  report.record = FindCandidates(this->attempts, server, service, now);
  if (report.record.candidates.empty()) {
    return;
  }
  if (!FindIsolated(report.record).empty()) {
    this->own_tests.insert(server);
  }
  this->RememberNames(server);
  if (!MergeReport(this->quarantine, report, now)) {
    return;
  }
  MarkProvenParts(this->quarantine, server, this->sound);
  this->Tell(server, now);
  this->NotifyChange();
}

void PromptQuarantine::RememberNames(const ServerIncarnation& server) {
  bool forgotten = false;
  const auto remember = [&](const ServiceName& service, const PartNames& names,
                            bool tested) {
    if (names == nullptr) {
      return;
    }
    for (const std::string& name : SplitPartNames(*names)) {
      if (!this->HasRoomForName(name) && !std::exchange(forgotten, true)) {
        this->ForgetUnusedNames();
      }
      this->RememberName(service, name, tested);
    }
  };
  const std::deque<EndedNames>& ended = this->attempts.ended_names;
  const auto open = this->attempts.servers.find(server);
  // Those of tests come first, as the record of a quarantine needs them.
  for (const bool tested : {true, false}) {
    for (auto entry = ended.rbegin(); entry != ended.rend(); ++entry) {
      if (entry->server == server && entry->isolated == tested) {
        remember(entry->service, entry->names, tested);
      }
    }
    if (open != this->attempts.servers.end()) {
      for (const auto& [number, attempt] : open->second) {
        if (attempt.isolated.empty() != tested) {
          remember(attempt.service, attempt.names, tested);
        }
      }
    }
  }
}

bool PromptQuarantine::HasRoomForName(const std::string& name) const {
  return this->names.size() < kMaxNames &&
         this->name_bytes + name.size() <= kMaxNameBytes;
}

void PromptQuarantine::ForgetName(
    const std::map<PartId, std::string>::iterator& entry) {
  this->name_bytes -= entry->second.size();
  this->names.erase(entry);
}

void PromptQuarantine::ForgetUnusedNames() {
  for (auto entry = this->names.begin(); entry != this->names.end();) {
    const auto next = std::next(entry);
    if (!this->quarantine.suspects.contains(entry->first) &&
        !this->IsQuarantined(entry->first)) {
      this->ForgetName(entry);
    }
    entry = next;
  }
}

bool PromptQuarantine::IsQuarantined(PartId part) const {
  return std::ranges::any_of(
      this->quarantine.quarantines, [part](const Quarantine& entry) {
        return std::ranges::binary_search(entry.parts, part);
      });
}

void PromptQuarantine::RememberName(const ServiceName& service,
                                    const std::string& name,
                                    bool tested) {
  const PartId part = IdentifyPart(service, name);
  for (auto entry = this->names.begin();
       tested && entry != this->names.end() && !this->HasRoomForName(name);) {
    const auto next = std::next(entry);
    if (entry->first != part && !this->IsQuarantined(entry->first)) {
      this->ForgetName(entry);
    }
    entry = next;
  }
  if (!this->HasRoomForName(name)) {
    return;
  }
  const bool is_new = this->names.emplace(part, name).second;
  this->name_bytes += is_new ? name.size() : 0;
  this->services.emplace(static_cast<std::uint32_t>(HashText(service.value)),
                         service);
}

void PromptQuarantine::Tell(const ServerIncarnation& crash, TimePoint now) {
  this->changed_at = now;
  const auto known = this->quarantine.crashes.find(crash);
  if (known == this->quarantine.crashes.end()) {
    return;
  }
  for (const std::string& bytes :
       EncodeCrashReport(MakeReport(known->second, now))) {
    this->callbacks.broadcast(bytes);
  }
}

Result<bool> PromptQuarantine::OnReport(std::string_view bytes) {
  BOOST_OUTCOME_TRY(report, DecodeCrashReport(bytes));
  const TimePoint now = EventLoop::Now();
  const ServerIncarnation crash = report.record.server;
  const bool is_new = !this->quarantine.crashes.contains(crash);
  if (!MergeReport(this->quarantine, report, now)) {
    return false;
  }
  this->changed_at = now;
  this->ReportCrash(crash, report.record.service, now);
  if (is_new) {
    const std::uint64_t draw = HashText(std::to_string(this->next_seed++));
    const auto spread = static_cast<std::uint64_t>(kProofSpread.count());
    this->After(Duration(static_cast<Duration::rep>(draw % spread)),
                [this, crash] {
                  if (MarkProvenParts(this->quarantine, crash, this->sound)) {
                    this->Tell(crash, EventLoop::Now());
                    this->NotifyChange();
                  }
                });
  }
  this->NotifyChange();
  return true;
}

std::uint32_t PromptQuarantine::Digest(TimePoint now) {
  this->Update(now);
  return this->quarantine.crashes.empty() ? 0 : DigestOf(this->quarantine);
}

std::vector<std::string> PromptQuarantine::EncodeAll(TimePoint now) const {
  std::vector<std::string> datagrams;
  for (const auto& [server, crash] : this->quarantine.crashes) {
    for (std::string& bytes : EncodeCrashReport(MakeReport(crash, now))) {
      datagrams.push_back(std::move(bytes));
    }
  }
  return datagrams;
}

void PromptQuarantine::OnPeerDigest(const std::string& host,
                                    std::uint32_t digest,
                                    TimePoint now) {
  if (digest == this->Digest(now) || now - this->changed_at < kSettlingTime) {
    return;
  }
  const auto [told, is_first] = this->told_at.try_emplace(host, now);
  if (!is_first && now - told->second < kRepairPeriod) {
    return;
  }
  told->second = now;
  for (const std::string& bytes : this->EncodeAll(now)) {
    this->callbacks.send(host, bytes);
  }
}

void PromptQuarantine::NotifyChange() {
  if (std::exchange(this->notifying, true)) {
    return;
  }
  Post(this->loop, [this, token = std::weak_ptr<int>(this->alive)] {
    if (token.expired()) {
      return;
    }
    this->notifying = false;
    this->callbacks.on_change();
  });
}

std::string PromptQuarantine::DescribeParts(
    const std::vector<PartId>& parts) const {
  std::string text;
  const std::size_t count = std::min(parts.size(), kMaxDescribedParts);
  for (const PartId part : std::span(parts).first(count)) {
    const auto name = this->names.find(part);
    text +=
        (text.empty() ? "" : ",") +
        (name == this->names.end() ? "#" + FormatPartId(part) : name->second);
  }
  if (count < parts.size()) {
    text += ",+" + std::to_string(parts.size() - count);
  }
  return text;
}

void PromptQuarantine::LogQuarantines(const std::vector<Quarantine>& before,
                                      TimePoint now) {
  const std::vector<Quarantine>& after = this->quarantine.quarantines;
  const auto contains = [](const std::vector<Quarantine>& list,
                           const Quarantine& entry) {
    return std::ranges::any_of(list, [&entry](const Quarantine& other) {
      return other.parts == entry.parts && other.account == entry.account;
    });
  };
  for (const Quarantine& entry : after) {
    if (!contains(before, entry)) {
      const std::string parts = this->DescribeParts(entry.parts);
      LogJsonNow("prompt_quarantined",
                 {{"parts", std::string_view(parts)},
                  {"one_account", entry.account != kSeveralAccounts},
                  {"for_ms", ToMilliseconds(entry.until - now)}});
      this->Publish(entry, now);
    }
  }
  for (const Quarantine& entry : before) {
    if (!contains(after, entry)) {
      const std::string parts = this->DescribeParts(entry.parts);
      LogJsonNow("prompt_quarantine_ended",
                 {{"parts", std::string_view(parts)}});
    }
  }
}

std::optional<QuarantineInForce> PromptQuarantine::DescribeQuarantine(
    const Quarantine& entry,
    TimePoint now) const {
  const KnownCrash* convicting = nullptr;
  QuarantineInForce described;
  for (const auto& [server, crash] : this->quarantine.crashes) {
    const bool is_own = this->own_tests.contains(server);
    if (std::ranges::includes(FindIsolated(crash.record), entry.parts) &&
        (convicting == nullptr || (is_own && !described.is_own_test))) {
      convicting = &crash;
      described.is_own_test = is_own;
    }
  }
  if (convicting == nullptr || entry.parts.size() > kMaxDescribedParts ||
      !this->services.contains(convicting->record.service)) {
    return std::nullopt;
  }
  QuarantineRecord& record = described.record;
  record.service = this->services.at(convicting->record.service);
  for (const PartId part : entry.parts) {
    const auto name = this->names.find(part);
    if (name == this->names.end()) {
      return std::nullopt;
    }
    record.parts.push_back(name->second);
  }
  const WallTime wall_now = EventLoop::WallNow();
  record.account = entry.account;
  record.since = wall_now - (now - convicting->learned_at);
  record.until = wall_now + (entry.until - now);
  record.term = convicting->term;
  return described;
}

void PromptQuarantine::Publish(const Quarantine& entry, TimePoint now) {
  const std::optional<QuarantineInForce> described =
      this->DescribeQuarantine(entry, now);
  if (described && described->is_own_test) {
    this->callbacks.on_quarantine(described->record);
  }
}

std::vector<QuarantineInForce> PromptQuarantine::ListInForce(TimePoint now) {
  this->Update(now);
  std::vector<QuarantineInForce> in_force;
  for (const Quarantine& entry : this->quarantine.quarantines) {
    const bool is_lifted =
        std::ranges::any_of(entry.parts, [this](const PartId part) {
          const auto rule = this->quarantine.rules.find(part);
          return rule != this->quarantine.rules.end() &&
                 rule->second == PartRule::kAllow;
        });
    const std::optional<QuarantineInForce> described =
        this->DescribeQuarantine(entry, now);
    if (described && !is_lifted && now < entry.until) {
      in_force.push_back(*described);
    }
  }
  return in_force;
}

void PromptQuarantine::Restore(const QuarantineRecord& record) {
  for (const std::string& name : record.parts) {
    this->RememberName(record.service, name, true);
  }
  if (MergeReport(this->quarantine, ToCrashReport(record, EventLoop::WallNow()),
                  EventLoop::Now())) {
    this->NotifyChange();
  }
}

void PromptQuarantine::SetRules(
    const std::map<std::string, PromptRuleRecord>& rules) {
  std::map<PartId, PartRule> by_part;
  for (const auto& [key, record] : rules) {
    by_part[IdentifyPart(record.service, record.part)] = record.rule;
  }
  if (by_part != this->quarantine.rules) {
    toucanhollow::SetRules(this->quarantine, std::move(by_part));
    this->NotifyChange();
  }
}

void PromptQuarantine::Sweep(TimePoint now) {
  this->RecordProofs(now);
  this->Update(now);
  ForgetEndedAttempts(this->attempts, now);
  std::erase_if(this->own_tests, [this](const ServerIncarnation& server) {
    return !this->quarantine.crashes.contains(server);
  });
  std::erase_if(this->checks, [now](const auto& entry) {
    return !entry.second.running && now >= entry.second.not_before &&
           !entry.second.again;
  });
  this->metrics.SetGauge("suspect_prompt_parts",
                         static_cast<double>(this->quarantine.suspects.size()));
  this->metrics.SetGauge(
      "prompt_quarantines",
      static_cast<double>(this->quarantine.quarantines.size()));
}

}  // namespace toucanhollow
