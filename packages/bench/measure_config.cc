#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "config/config_fold.h"
#include "config/config_view.h"
#include "config/plan_refresh.h"
#include "log_codec/config_codec.h"

namespace toucanhollow {
namespace {

// Number of entry hosts that one host has links to in the target fleet.
constexpr std::int64_t kLinkedEntryHosts = 20;
constexpr std::int64_t kTargetSubjects = 1500;

// Makes an endpoint record, the most numerous kind in the target fleet.
LogEntry MakeEntry(std::int64_t number,
                   LogOffset offset,
                   LogOffset expected_revision) {
  EndpointContent content;
  content.service = {"group-" + std::to_string(number / 64)};
  content.data_centre = {"centre-" + std::to_string(number % 11)};
  content.addresses = {{"10.0.0.1", 7000}};
  PublishedRecord record;
  record.subject = {std::string(kEndpointKind),
                    "endpoint-" + std::to_string(number)};
  record.expected_revision = expected_revision;
  record.copy.change_id = "change-" + std::to_string(offset);
  record.copy.text = EncodeContent(content);
  return {offset, WallTime(Seconds(offset)), EncodeRecord(record)};
}

void MeasureConfigState(std::int64_t subjects) {
  const std::int64_t before = AllocatedHeapBytes();
  ConfigState state;
  for (std::int64_t i = 0; i < subjects; ++i) {
    state =
        FoldEntry(std::move(state), DecodeConfig(MakeEntry(i, i + 1, 0))).state;
  }
  ReportMeasurement("config_bytes", subjects,
                    static_cast<double>(AllocatedHeapBytes() - before),
                    "bytes");
  ReportMeasurement(
      "config_snapshot_bytes", subjects,
      static_cast<double>(EncodeSnapshot(TakeSnapshot(state)).size()), "bytes");
  LogOffset offset = subjects;
  std::vector<LogOffset> revisions;
  for (std::int64_t i = 0; i < subjects; ++i) {
    revisions.push_back(i + 1);
  }
  const double us = MeasureCallUs([&](std::int64_t call) {
    const std::int64_t number = call % subjects;
    LogOffset& revision = revisions[static_cast<std::size_t>(number)];
    const LogEntry entry = MakeEntry(number, ++offset, revision);
    revision = offset;
    state = FoldEntry(std::move(state), DecodeConfig(entry)).state;
  });
  ReportMeasurement("config_change_us", subjects, us, "us");
  const double view_us = MeasureCallUs([&](std::int64_t) {
    const ConfigView view = MakeConfigView(state);
    if (view.endpoints.empty()) {
      std::abort();
    }
  });
  ReportMeasurement("config_view_us", subjects, view_us, "us");
}

// Measures the refresh check that each entry host makes every second, in the
// case that no refresh is due.
void MeasureRefresh(std::int64_t subjects, std::int64_t hosts) {
  ConfigState state;
  for (std::int64_t i = 0; i < subjects; ++i) {
    state =
        FoldEntry(std::move(state), DecodeConfig(MakeEntry(i, i + 1, 0))).state;
  }
  std::vector<ProcessName> names;
  for (std::int64_t i = 0; i < hosts; ++i) {
    names.push_back({"entry-" + std::to_string(i)});
  }
  RefreshLogStatus log;
  log.healthy = true;
  log.end = subjects;
  log.retention = Seconds(std::int64_t{25} * 3600);
  const WallTime now{Seconds(subjects)};
  const double us = MeasureCallUs([&](std::int64_t) {
    if (!PlanRefresh(state, log, names.front(), names, now)
             .refresh.subjects.empty()) {
      std::abort();
    }
  });
  if (hosts == kLinkedEntryHosts) {
    ReportMeasurement("plan_refresh_us_by_subjects", subjects, us, "us");
  } else {
    ReportMeasurement("plan_refresh_us_by_hosts", hosts, us, "us");
  }
}

void MeasureRecordBytes() {
  ReportMeasurement(
      "config_record_bytes", 1,
      static_cast<double>(MakeEntry(1000, 5000, 4000).payload.size()), "bytes");
}

}  // namespace

void MeasureConfig() {
  MeasureRecordBytes();
  for (const std::int64_t subjects : {250, 500, 1000, 2000, 4000}) {
    MeasureConfigState(subjects);
    MeasureRefresh(subjects, kLinkedEntryHosts);
  }
  for (const std::int64_t hosts : {8, 50, 100, 200, 410}) {
    MeasureRefresh(kTargetSubjects, hosts);
  }
}

}  // namespace toucanhollow
