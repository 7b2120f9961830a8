#include "config/snapshot_request.h"

#include <utility>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr TimePoint kStart{Seconds(100)};

PublishedRecord MakeDataCentreRecord() {
  PublishedRecord record{
      {std::string(kDataCentreKind), "nadi-south"}, 0, ConfigCopy()};
  record.copy.change_id = "c";
  record.copy.validity = ContentValidity::kValid;
  record.copy.content = DataCentreContent{true, "west"};
  return record;
}

// The state of a process that has read one entry, at the offset `first`. The
// log had dropped the entries before it.
ConfigState MakeStateReadFrom(LogOffset first) {
  ConfigEntry entry;
  entry.offset = first;
  entry.record = MakeDataCentreRecord();
  return FoldEntry(ConfigState(), entry).state;
}

TEST_CASE("a process without configuration requests a snapshot at once") {
  const auto decision = DecideSnapshotRequest({}, {}, false, 5, kStart);
  CHECK(decision.request_snapshot);
  CHECK_FALSE(DecideSnapshotRequest(decision.state, {}, false, 5,
                                    kStart + Milliseconds(500))
                  .request_snapshot);
}

// Guards against a snapshot request for each record that a peer happens to read
// earlier.
TEST_CASE("a process that is behind waits for the log before its request") {
  const ConfigState config = MakeStateReadFrom(1);
  auto decision = DecideSnapshotRequest({}, config, true, 2, kStart);
  CHECK_FALSE(decision.request_snapshot);
  decision = DecideSnapshotRequest(decision.state, config, true, 2,
                                   kStart + Seconds(3));
  CHECK(decision.request_snapshot);
  decision = DecideSnapshotRequest(decision.state, config, true, 1,
                                   kStart + Seconds(4));
  CHECK_FALSE(decision.state.behind_since.has_value());
}

// Guards against a process that started after the log had dropped its first
// entries, and whose undecided records wait for a refresh although every peer
// could decide them. Its offset is not behind theirs.
TEST_CASE(
    "a process with a gap makes rare requests to peers that are not ahead") {
  const ConfigState config = MakeStateReadFrom(7);
  REQUIRE(HasConfigGap(config));
  REQUIRE_FALSE(HasConfigGap(MakeStateReadFrom(1)));
  auto decision = DecideSnapshotRequest({}, config, true, 7, kStart);
  decision = DecideSnapshotRequest(decision.state, config, true, 7,
                                   kStart + Seconds(2));
  CHECK(decision.request_snapshot);
  decision = DecideSnapshotRequest(decision.state, config, true, 7,
                                   kStart + Seconds(4));
  CHECK_FALSE(decision.request_snapshot);
  decision = DecideSnapshotRequest(decision.state, config, true, 7,
                                   kStart + Seconds(40));
  CHECK(decision.request_snapshot);
}

}  // namespace
}  // namespace toucanhollow
