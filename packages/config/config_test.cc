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

ConfigSubject DataCentre(const std::string& name = "nadi-south") {
  return {std::string(kDataCentreKind), name};
}

PublishedRecord Record(const std::string& change,
                       LogOffset expected,
                       bool in_service = true,
                       const ConfigSubject& subject = DataCentre()) {
  PublishedRecord record{subject, expected, {}};
  record.copy.change_id = change;
  record.copy.validity = ContentValidity::kValid;
  record.copy.content = DataCentreContent{in_service, "west"};
  return record;
}

PublishedRecord Unusable(const std::string& change,
                         LogOffset expected,
                         ContentValidity validity) {
  PublishedRecord record = Record(change, expected);
  record.copy.content.reset();
  record.copy.validity = validity;
  record.copy.schema = validity == ContentValidity::kOpaque ? 3 : 2;
  record.copy.findings = {MakeFailure(validity == ContentValidity::kOpaque
                                          ? ResultCode::kRecordSchemaUnknown
                                          : ResultCode::kRecordFieldInvalid,
                                      "state")};
  return record;
}

ConfigEntry Entry(LogOffset offset, PublishedRecord record) {
  return {offset, kStart + Seconds(offset), std::move(record)};
}

ConfigState Fold(const std::vector<ConfigEntry>& entries,
                 ConfigState state = {}) {
  for (const ConfigEntry& entry : entries) {
    state = FoldEntry(std::move(state), entry).state;
  }
  return state;
}

LogOffset InForce(const ConfigState& state,
                  const ConfigSubject& subject = DataCentre()) {
  const auto found = state.subjects.find(subject);
  const ConfigCopy* copy = found == state.subjects.end()
                               ? nullptr
                               : FindCopyInForce(found->second.copies);
  return copy == nullptr ? 0 : copy->offset;
}

ConfigRefresh RefreshOf(const ConfigState& state) {
  return {TakeSnapshot(state).subjects};
}

// Guards against two operators who both believe that their record is in force.
TEST_CASE("of two records with one expected revision the first is accepted") {
  const ConfigState state =
      Fold({Entry(1, Record("a", 0)), Entry(2, Record("b", 1, false)),
            Entry(3, Record("c", 1, true))});
  CHECK(InForce(state) == 2);
  CHECK(FindChange(state, "b")->outcome == ChangeOutcome::kAccepted);
  CHECK(FindChange(state, "c")->outcome == ChangeOutcome::kVoid);
  CHECK_FALSE(FindChange(state, "d"));
}

// Guards against a lost append answer that makes a change count twice or look
// refused.
TEST_CASE("a second append of an accepted record is void and found") {
  ConfigState state = Fold({Entry(1, Record("a", 0))});
  const ConfigStep step = FoldEntry(state, Entry(2, Record("a", 0)));
  REQUIRE(step.reports.size() == 1);
  CHECK(step.reports[0].failure.code == ResultCode::kRecordDuplicate);
  CHECK(InForce(step.state) == 1);
  const auto change = FindChange(step.state, "a");
  CHECK(change->outcome == ChangeOutcome::kAccepted);
  CHECK(change->offset == 1);
}

// Guards against versions that accept different records, and against losing
// what is in force to content that cannot be used (I9).
TEST_CASE("unusable content advances the revision and changes nothing") {
  const auto validity =
      GENERATE(ContentValidity::kInvalid, ContentValidity::kOpaque);
  ConfigState state = Fold({Entry(1, Record("a", 0))});
  const ConfigStep step =
      FoldEntry(state, Entry(2, Unusable("b", 1, validity)));
  CHECK(InForce(step.state) == 1);
  CHECK(GetRevision(step.state, DataCentre()) == 2);
  CHECK(step.reports.size() == 1);
  state = Fold({Entry(3, Record("c", 1)), Entry(4, Record("d", 2, false))},
               step.state);
  CHECK(InForce(state) == 4);
  // A fresh process that knows only the snapshot has the last good content.
  CHECK(InForce(MergeSnapshot({}, TakeSnapshot(step.state)).state) == 1);
}

// Guards against a removed subject that comes back by an old copy.
TEST_CASE("removal ends a subject for all merges of older copies") {
  const ConfigState before = Fold({Entry(1, Record("a", 0))});
  PublishedRecord removal = Record("b", 1);
  removal.copy.removed = true;
  removal.copy.content.reset();
  ConfigState state = Fold({Entry(2, removal)}, before);
  CHECK(InForce(state) == 0);
  state = MergeSnapshot(state, TakeSnapshot(before)).state;
  CHECK(InForce(state) == 0);
  const auto invalid = ContentValidity::kInvalid;
  state = Fold({Entry(3, Unusable("c", 2, invalid))}, state);
  CHECK(InForce(state) == 0);
  CHECK(GetRevision(state, DataCentre()) == 3);
}

// Guards against a record that is accepted on a guess after the log dropped
// what came before.
TEST_CASE("records behind a gap stay undecided until something settles them") {
  const std::vector<ConfigEntry> log = {
      Entry(1, Record("a", 0)), Entry(2, Record("b", 1)),
      Entry(3, Record("c", 2, false)), Entry(4, Record("d", 2))};
  ConfigState fresh = Fold({log[2], log[3]});
  CHECK(InForce(fresh) == 0);
  CHECK(FindChange(fresh, "c")->outcome == ChangeOutcome::kUndecided);
  const ConfigState full = Fold(log);
  SECTION("a refresh at or above them") {
    fresh = FoldEntry(fresh, {5, kStart, RefreshOf(full)}).state;
    CHECK(FindChange(fresh, "c")->outcome == ChangeOutcome::kAccepted);
    CHECK(FindChange(fresh, "d")->outcome == ChangeOutcome::kVoid);
  }
  SECTION("a snapshot that joins the range that was read") {
    fresh = MergeSnapshot(fresh, TakeSnapshot(Fold({log[0], log[1]}))).state;
    CHECK(FindChange(fresh, "c")->outcome == ChangeOutcome::kAccepted);
    CHECK(FindChange(fresh, "d")->outcome == ChangeOutcome::kVoid);
    fresh = FoldEntry(fresh, {5, kStart, UnreadableRecord{}}).state;
  }
  SECTION("an older snapshot does not suffice, but its content is in force") {
    const ConfigState old =
        MergeSnapshot(fresh, TakeSnapshot(Fold({log[0]}))).state;
    CHECK(InForce(old) == 1);
    CHECK(FindChange(old, "c")->outcome == ChangeOutcome::kUndecided);
    return;
  }
  CHECK(InForce(fresh) == 3);
  // Records that follow are decided at once.
  fresh = FoldEntry(fresh, Entry(6, Record("e", 3))).state;
  CHECK(InForce(fresh) == 6);
}

// Guards against two fresh processes that make each other ready with an empty
// configuration while the log is down.
TEST_CASE("the snapshot of a process that knows nothing makes none ready") {
  const ConfigState decided_up_to = MergeSnapshot({}, TakeSnapshot({})).state;
  CHECK_FALSE(decided_up_to.has_source);
  const ConfigState read = ObserveConfigLogEnd({}, 0);
  CHECK(MergeSnapshot({}, TakeSnapshot(read)).state.has_source);
}

// Guards against a process that missed entries while it was paused.
TEST_CASE("a gap while running makes later records undecided") {
  ConfigState state = Fold({Entry(1, Record("a", 0))});
  state = FoldEntry(state, Entry(9, Record("x", 1))).state;
  CHECK(InForce(state) == 1);
  CHECK(FindChange(state, "x")->outcome == ChangeOutcome::kUndecided);
}

// Guards against merges that depend on order or go back: any process that
// reads any tail of the log with snapshots and refreshes mixed in at random
// never lowers what is in force and ends with the same copies.
TEST_CASE("reading, refreshes and snapshots commute and never go back") {
  std::mt19937_64 random(7);
  const auto pick = [&](std::size_t bound) { return random() % bound; };
  for (int round = 0; round < 300; ++round) {
    std::vector<ConfigEntry> log;
    std::vector<ConfigState> prefixes = {{}};
    for (LogOffset offset = 1; offset <= 40; ++offset) {
      const ConfigState& state = prefixes.back();
      ConfigEntry entry{offset, kStart + Seconds(offset), {}};
      if (pick(6) == 0) {
        ConfigRefresh refresh = RefreshOf(prefixes[pick(prefixes.size())]);
        std::erase_if(refresh.subjects,
                      [&](const auto&) { return pick(2) == 0; });
        entry.record = std::move(refresh);
      } else {
        const ConfigSubject subject = DataCentre(std::to_string(pick(3)));
        const LogOffset expected = pick(3) == 0
                                       ? static_cast<LogOffset>(pick(40))
                                       : GetRevision(state, subject);
        PublishedRecord record =
            Record("c" + std::to_string(offset), expected, true, subject);
        record.copy.removed = pick(8) == 0;
        if (record.copy.removed || pick(5) == 0) {
          record.copy.content.reset();
          record.copy.validity = ContentValidity::kInvalid;
        }
        entry.record = std::move(record);
      }
      log.push_back(entry);
      prefixes.push_back(FoldEntry(state, entry).state);
    }
    ConfigState reader;
    for (std::size_t i = pick(20); i < log.size(); ++i) {
      const ConfigState before = reader;
      reader = FoldEntry(std::move(reader), log[i]).state;
      if (pick(8) == 0) {
        reader = MergeSnapshot(std::move(reader),
                               TakeSnapshot(prefixes[pick(prefixes.size())]))
                     .state;
      }
      if (pick(20) == 0) {
        i += pick(3);
      }
      for (const auto& [name, subject] : before.subjects) {
        REQUIRE(reader.subjects.at(name).copies.removed_at >=
                subject.copies.removed_at);
        REQUIRE(GetRevision(reader, name) >= GetRevision(before, name));
        REQUIRE((InForce(reader, name) >= InForce(before, name) ||
                 reader.subjects.at(name).copies.removed_at >
                     InForce(before, name)));
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

// Guards against subjects that fall out of the log, and against every entry
// host refreshing at once.
TEST_CASE("subjects are refreshed after a quarter of the retention, by rank") {
  ConfigState state;
  for (LogOffset i = 1; i <= 100; ++i) {
    const ConfigSubject subject = DataCentre("dc-" + std::to_string(i));
    state = FoldEntry(
                state,
                {i, kStart, Record("c" + std::to_string(i), 0, true, subject)})
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
  // Not while the log is unwell, unread, or the state unsure.
  const auto refused = [&](const RefreshLogStatus& status) {
    return PlanRefresh(state, status, hosts[0], hosts, due + kRetention)
        .refresh.subjects.empty();
  };
  CHECK(refused({false, 100, kRetention}));
  CHECK(refused({true, 101, kRetention}));
  // A refresh that was read counts as the youngest copy.
  state = FoldEntry(state, {101, due, RefreshOf(state)}).state;
  const RefreshPlan later =
      PlanRefresh(state, {true, 101, kRetention}, hosts[0], hosts, due);
  CHECK(later.refresh.subjects.empty());
  CHECK(later.next >= due + kRetention / 4);
}

// Guards against work sent to a data centre that is out, to strangers, or
// repeated when it must not be.
TEST_CASE("the view joins services, accounts, endpoints and data centres") {
  ConfigState state;
  const auto put = [&](std::string_view kind, const std::string& name,
                       ConfigContent content) {
    PublishedRecord record =
        Record(name, GetRevision(state, {std::string(kind), name}), true,
               {std::string(kind), name});
    record.copy.content = std::move(content);
    state = FoldEntry(state, Entry(state.next_offset, record)).state;
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

// Guards against mistakes that operators cannot find from the message.
TEST_CASE("validation names field, value and remedy") {
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
  CHECK(ValidateEnvelope(Record("", -1)).size() == 2);
}

}  // namespace
}  // namespace toucanhollow
