#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "config/config_fold.h"
#include "config/config_view.h"
#include "config/plan_refresh.h"
#include "config/subject_copies.h"
#include "config/validate_record.h"

namespace toucanhollow {
namespace {

constexpr WallTime kStart{Seconds(1'000'000)};
constexpr Duration kRetention = Seconds(4 * 3600);

ConfigSubject MakeDataCentreSubject(const std::string& name = "nadi-south") {
  return {std::string(kDataCentreKind), name};
}

PublishedRecord MakeRecord(
    const std::string& change,
    LogOffset expected,
    bool in_service = true,
    const ConfigSubject& subject = MakeDataCentreSubject()) {
  PublishedRecord record{subject, expected, {}};
  record.copy.change_id = change;
  record.copy.validity = ContentValidity::kValid;
  record.copy.content = DataCentreContent{in_service, "west"};
  return record;
}

PublishedRecord MakeUnusableRecord(const std::string& change,
                                   LogOffset expected,
                                   ContentValidity validity) {
  PublishedRecord record = MakeRecord(change, expected);
  record.copy.content.reset();
  record.copy.validity = validity;
  record.copy.schema = validity == ContentValidity::kOpaque ? 3 : 2;
  record.copy.findings = {MakeFailure(validity == ContentValidity::kOpaque
                                          ? ResultCode::kRecordSchemaUnknown
                                          : ResultCode::kRecordFieldInvalid,
                                      "state")};
  return record;
}

ConfigEntry MakeEntry(LogOffset offset, PublishedRecord record) {
  return {offset, kStart + Seconds(offset), std::move(record)};
}

ConfigState FoldEntries(const std::vector<ConfigEntry>& entries,
                        ConfigState state = {}) {
  for (const ConfigEntry& entry : entries) {
    state = FoldEntry(std::move(state), entry).state;
  }
  return state;
}

LogOffset GetOffsetInForce(
    const ConfigState& state,
    const ConfigSubject& subject = MakeDataCentreSubject()) {
  const auto found = state.subjects.find(subject);
  const ConfigCopy* copy = found == state.subjects.end()
                               ? nullptr
                               : FindCopyInForce(found->second.copies);
  return copy == nullptr ? 0 : copy->offset;
}

ConfigRefresh MakeRefresh(const ConfigState& state) {
  return {TakeSnapshot(state).subjects};
}

// Guards against two operators who both find their record accepted, although
// they published against the same revision.
TEST_CASE(
    "of two records with the same expected revision the first is accepted") {
  const ConfigState state =
      FoldEntries({MakeEntry(1, MakeRecord("a", 0)),
                   MakeEntry(2, MakeRecord("b", 1, false)),
                   MakeEntry(3, MakeRecord("c", 1, true))});
  CHECK(GetOffsetInForce(state) == 2);
  CHECK(FindChange(state, "b")->outcome == ChangeOutcome::kAccepted);
  CHECK(FindChange(state, "c")->outcome == ChangeOutcome::kVoid);
  CHECK_FALSE(FindChange(state, "d"));
}

// Guards against a change that is applied twice, or that its publisher takes
// for refused, because the answer to its append was lost.
TEST_CASE("a second append of an accepted record is a reported duplicate") {
  ConfigState state = FoldEntries({MakeEntry(1, MakeRecord("a", 0))});
  const ConfigStep step = FoldEntry(state, MakeEntry(2, MakeRecord("a", 0)));
  REQUIRE(step.reports.size() == 1);
  CHECK(step.reports[0].failure.code == ResultCode::kRecordDuplicate);
  CHECK(GetOffsetInForce(step.state) == 1);
  const auto change = FindChange(step.state, "a");
  CHECK(change->outcome == ChangeOutcome::kAccepted);
  CHECK(change->offset == 1);
}

// Guards against program versions that accept different records, and against
// unusable content that replaces the content in force (invariant I9).
TEST_CASE(
    "unusable content advances the revision but does not come into force") {
  const auto validity =
      GENERATE(ContentValidity::kInvalid, ContentValidity::kOpaque);
  ConfigState state = FoldEntries({MakeEntry(1, MakeRecord("a", 0))});
  const ConfigStep step =
      FoldEntry(state, MakeEntry(2, MakeUnusableRecord("b", 1, validity)));
  CHECK(GetOffsetInForce(step.state) == 1);
  CHECK(GetRevision(step.state, MakeDataCentreSubject()) == 2);
  CHECK(step.reports.size() == 1);
  state = FoldEntries({MakeEntry(3, MakeRecord("c", 1)),
                       MakeEntry(4, MakeRecord("d", 2, false))},
                      step.state);
  CHECK(GetOffsetInForce(state) == 4);
  // A new process that has only the snapshot gets the last valid content.
  CHECK(GetOffsetInForce(MergeSnapshot({}, TakeSnapshot(step.state)).state) ==
        1);
}

// Guards against a removed subject that an old copy restores.
TEST_CASE("merging older copies does not restore a removed subject") {
  const ConfigState before = FoldEntries({MakeEntry(1, MakeRecord("a", 0))});
  PublishedRecord removal = MakeRecord("b", 1);
  removal.copy.removed = true;
  removal.copy.content.reset();
  ConfigState state = FoldEntries({MakeEntry(2, removal)}, before);
  CHECK(GetOffsetInForce(state) == 0);
  state = MergeSnapshot(state, TakeSnapshot(before)).state;
  CHECK(GetOffsetInForce(state) == 0);
  const auto invalid = ContentValidity::kInvalid;
  state =
      FoldEntries({MakeEntry(3, MakeUnusableRecord("c", 2, invalid))}, state);
  CHECK(GetOffsetInForce(state) == 0);
  CHECK(GetRevision(state, MakeDataCentreSubject()) == 3);
}

// Guards against a record that is accepted although the log dropped earlier
// records of its subject before they were read.
TEST_CASE("records after a gap stay undecided until a refresh or snapshot") {
  const std::vector<ConfigEntry> log = {MakeEntry(1, MakeRecord("a", 0)),
                                        MakeEntry(2, MakeRecord("b", 1)),
                                        MakeEntry(3, MakeRecord("c", 2, false)),
                                        MakeEntry(4, MakeRecord("d", 2))};
  ConfigState fresh = FoldEntries({log[2], log[3]});
  CHECK(GetOffsetInForce(fresh) == 0);
  CHECK(FindChange(fresh, "c")->outcome == ChangeOutcome::kUndecided);
  const ConfigState full = FoldEntries(log);
  SECTION("a refresh at their offsets or above decides them") {
    fresh = FoldEntry(fresh, {5, kStart, MakeRefresh(full)}).state;
    CHECK(FindChange(fresh, "c")->outcome == ChangeOutcome::kAccepted);
    CHECK(FindChange(fresh, "d")->outcome == ChangeOutcome::kVoid);
  }
  SECTION(
      "a snapshot up to the start of the range that was read decides them") {
    fresh =
        MergeSnapshot(fresh, TakeSnapshot(FoldEntries({log[0], log[1]}))).state;
    CHECK(FindChange(fresh, "c")->outcome == ChangeOutcome::kAccepted);
    CHECK(FindChange(fresh, "d")->outcome == ChangeOutcome::kVoid);
    fresh = FoldEntry(fresh, {5, kStart, UnreadableRecord{}}).state;
  }
  SECTION(
      "an older snapshot does not decide them, but its content is in force") {
    const ConfigState old =
        MergeSnapshot(fresh, TakeSnapshot(FoldEntries({log[0]}))).state;
    CHECK(GetOffsetInForce(old) == 1);
    CHECK(FindChange(old, "c")->outcome == ChangeOutcome::kUndecided);
    return;
  }
  CHECK(GetOffsetInForce(fresh) == 3);
  // Later records are decided as soon as they are read.
  fresh = FoldEntry(fresh, MakeEntry(6, MakeRecord("e", 3))).state;
  CHECK(GetOffsetInForce(fresh) == 6);
}

// Guards against two fresh processes that make each other ready with an empty
// configuration while the log is down.
TEST_CASE(
    "the snapshot of a process without configuration makes no peer ready") {
  const ConfigState from_empty_peer = MergeSnapshot({}, TakeSnapshot({})).state;
  CHECK_FALSE(from_empty_peer.has_source);
  const ConfigState caught_up = ObserveConfigLogEnd({}, 0);
  CHECK(MergeSnapshot({}, TakeSnapshot(caught_up)).state.has_source);
}

// Guards against a process that was paused while the log dropped entries, and
// that then accepts records without having read the earlier ones.
TEST_CASE("records after a gap in a running process stay undecided") {
  ConfigState state = FoldEntries({MakeEntry(1, MakeRecord("a", 0))});
  state = FoldEntry(state, MakeEntry(9, MakeRecord("x", 1))).state;
  CHECK(GetOffsetInForce(state) == 1);
  CHECK(FindChange(state, "x")->outcome == ChangeOutcome::kUndecided);
}

// Guards against merges that depend on their order or that bring back older
// content. A reader starts at a random offset of the log and merges snapshots
// and refreshes at random. The offset in force must never decrease except by a
// removal, and every reader must end with the same copies.
TEST_CASE("reads, refreshes and snapshots commute and keep the latest copy") {
  std::mt19937_64 random(7);
  const auto draw_below = [&](std::size_t bound) { return random() % bound; };
  for (int round = 0; round < 300; ++round) {
    std::vector<ConfigEntry> log;
    std::vector<ConfigState> prefixes = {{}};
    for (LogOffset offset = 1; offset <= 40; ++offset) {
      const ConfigState& state = prefixes.back();
      ConfigEntry entry{offset, kStart + Seconds(offset), {}};
      if (draw_below(6) == 0) {
        ConfigRefresh refresh =
            MakeRefresh(prefixes[draw_below(prefixes.size())]);
        std::erase_if(refresh.subjects,
                      [&](const auto&) { return draw_below(2) == 0; });
        entry.record = std::move(refresh);
      } else {
        const ConfigSubject subject =
            MakeDataCentreSubject(std::to_string(draw_below(3)));
        const LogOffset expected = draw_below(3) == 0
                                       ? static_cast<LogOffset>(draw_below(40))
                                       : GetRevision(state, subject);
        PublishedRecord record =
            MakeRecord("c" + std::to_string(offset), expected, true, subject);
        record.copy.removed = draw_below(8) == 0;
        if (record.copy.removed || draw_below(5) == 0) {
          record.copy.content.reset();
          record.copy.validity = ContentValidity::kInvalid;
        }
        entry.record = std::move(record);
      }
      log.push_back(entry);
      prefixes.push_back(FoldEntry(state, entry).state);
    }
    ConfigState reader;
    for (std::size_t i = draw_below(20); i < log.size(); ++i) {
      const ConfigState before = reader;
      reader = FoldEntry(std::move(reader), log[i]).state;
      if (draw_below(8) == 0) {
        reader =
            MergeSnapshot(std::move(reader),
                          TakeSnapshot(prefixes[draw_below(prefixes.size())]))
                .state;
      }
      if (draw_below(20) == 0) {
        i += draw_below(3);
      }
      for (const auto& [name, subject] : before.subjects) {
        REQUIRE(reader.subjects.at(name).copies.removed_at >=
                subject.copies.removed_at);
        REQUIRE(GetRevision(reader, name) >= GetRevision(before, name));
        REQUIRE(
            (GetOffsetInForce(reader, name) >= GetOffsetInForce(before, name) ||
             reader.subjects.at(name).copies.removed_at >
                 GetOffsetInForce(before, name)));
      }
    }
    const ConfigState& full = prefixes.back();
    reader = MergeSnapshot(std::move(reader), TakeSnapshot(full)).state;
    CHECK(TakeSnapshot(reader).subjects.size() ==
          TakeSnapshot(full).subjects.size());
    for (const auto& [name, subject] : full.subjects) {
      if (subject.copies.latest) {
        REQUIRE(reader.subjects.at(name).copies == subject.copies);
      }
      REQUIRE(reader.subjects[name].undecided.empty());
    }
  }
}

// Guards against subjects that the log's retention drops, and against all entry
// hosts refreshing at the same time.
TEST_CASE("subjects are refreshed after a quarter of the retention, by rank") {
  ConfigState state;
  for (LogOffset i = 1; i <= 100; ++i) {
    const ConfigSubject subject =
        MakeDataCentreSubject("dc-" + std::to_string(i));
    state = FoldEntry(state,
                      {i, kStart,
                       MakeRecord("c" + std::to_string(i), 0, true, subject)})
                .state;
  }
  const std::vector<ProcessName> hosts = {{"h1"}, {"h2"}, {"h3"}};
  const RefreshLogStatus log{true, 100, kRetention};
  const WallTime due = kStart + kRetention / 4;
  const auto count_due = [&](WallTime now) {
    std::vector<std::size_t> counts;
    counts.reserve(hosts.size());
    for (const ProcessName& host : hosts) {
      counts.push_back(
          PlanRefresh(state, log, host, hosts, now).refresh.subjects.size());
    }
    return counts;
  };
  CHECK(count_due(due - Seconds(1)) == std::vector<std::size_t>{0, 0, 0});
  const auto at_due = count_due(due);
  CHECK(at_due[0] + at_due[1] + at_due[2] == 100);
  CHECK(count_due(due + kRetention / 64) ==
        std::vector<std::size_t>(3, kMaxRefreshSubjects));
  // Nothing is refreshed while the log is unhealthy or not read to its end.
  const auto refused = [&](const RefreshLogStatus& status) {
    return PlanRefresh(state, status, hosts[0], hosts, due + kRetention)
        .refresh.subjects.empty();
  };
  CHECK(refused({false, 100, kRetention}));
  CHECK(refused({true, 101, kRetention}));
  // The time of a refresh that was read counts as the time of the copies.
  state = FoldEntry(state, {101, due, MakeRefresh(state)}).state;
  const RefreshPlan later =
      PlanRefresh(state, {true, 101, kRetention}, hosts[0], hosts, due);
  CHECK(later.refresh.subjects.empty());
  CHECK(later.next >= due + kRetention / 4);
}

// Guards against work that is sent to a data centre out of service, that is
// accepted from accounts without a share, or that is repeated although it is
// not repeatable.
TEST_CASE("the view combines services, accounts, endpoints and data centres") {
  ConfigState state;
  const auto put = [&](std::string_view kind, const std::string& name,
                       ConfigContent content) {
    PublishedRecord record =
        MakeRecord(name, GetRevision(state, {std::string(kind), name}), true,
                   {std::string(kind), name});
    record.copy.content = std::move(content);
    state = FoldEntry(state, MakeEntry(state.next_offset, record)).state;
  };
  put(kPlainServiceKind, "listings",
      PlainServiceContent{{{{"acme"}, 2.0}},
                          {{"GET", "/", true}, {"GET", "/once", false}},
                          16});
  put(kModelGroupKind, "g1",
      ModelGroupContent{"draft", 16, 64, {{{"acme"}, 1}}});
  put(kAccountKind, "acme", AccountContent{1.5});
  put(kDataCentreKind, "nadi", DataCentreContent{true, "west"});
  put(kEndpointKind, "e1",
      EndpointContent{{"listings"}, {"nadi"}, {{"10.0.0.1", 80}}});
  put(kEndpointKind, "e2",
      EndpointContent{{"listings"}, {"suva"}, {{"10.0.0.2", 80}}});
  ConfigView view = MakeConfigView(state);
  const auto endpoints = ListEndpointsInService(view, {"listings"});
  REQUIRE(endpoints.size() == 1);
  CHECK(endpoints[0].name.value == "e1");
  CHECK(endpoints[0].full_limit == 16);
  CHECK(GetAccountShare(view, {"listings"}, {"acme"}) == 3.0);
  CHECK(GetAccountShare(view, {"listings"}, {"other"}) == 0.0);
  CHECK(ListGroupsOfModel(view, "draft", {"acme"}).size() == 1);
  const ServiceView& service = view.services.at({"listings"});
  CHECK(IsRepeatable(service, "GET", "/calendar?x=/once"));
  CHECK_FALSE(IsRepeatable(service, "GET", "/once/more"));
  CHECK_FALSE(IsRepeatable(service, "POST", "/calendar"));
  CHECK_FALSE(view.ready);
  CHECK(MakeConfigView(ObserveConfigLogEnd(state, 6)).ready);
  put(kDataCentreKind, "nadi", DataCentreContent{false, "west"});
  CHECK(ListEndpointsInService(MakeConfigView(state), {"listings"}).empty());
}

// Guards against errors that operators cannot locate from the message.
TEST_CASE("validation errors name the field, the value and the remedy") {
  const EndpointContent endpoint{{"listings"}, {""}, {{"10.0.0.300", 80}}};
  const auto failures =
      ValidateRecord({std::string(kEndpointKind), "e 1"}, endpoint);
  REQUIRE(failures.size() == 3);
  CHECK(FormatFailure(failures[0]) ==
        "2002 record_field_invalid: subject is 'e 1'; use up to 128 letters, "
        "digits, '-', '_' and '.'");
  CHECK(FormatFailure(failures[1]) ==
        "2001 record_field_missing: data_centre is missing; give a name");
  CHECK(FormatFailure(failures[2]) ==
        "2002 record_field_invalid: addresses is '10.0.0.300:80'; use <IPv4 "
        "address>:<port from 1 to 65535>");
  CHECK(ValidateRecord({std::string(kAccountKind), "a"}, AccountContent{0})
            .size() == 1);
  CHECK(ValidateEnvelope(MakeRecord("", -1)).size() == 2);
}

}  // namespace
}  // namespace toucanhollow
