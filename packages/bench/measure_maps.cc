#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "expert_map/map_fold.h"

namespace toucanhollow {
namespace {

// Measures one complete map change: a proposal and a confirmation by each rank.
void MeasureMapChange(int ranks) {
  MapFold fold;
  const ServiceName group{"drafting"};
  LogOffset offset = 0;
  ChangeOffset base = 0;
  StepNumber step = 0;
  const ExpertMap map = InitialMap(ranks, 2 * ranks, 4);
  const double us = MeasureCallUs([&](std::int64_t call) {
    ProposeRecord proposal;
    proposal.change = "change-" + std::to_string(call);
    proposal.base_version = base;
    proposal.map = map;
    proposal.activation_step = step += 1000;
    proposal.ranks = ranks;
    const LogOffset change = ++offset;
    fold = FoldMapEntry(std::move(fold), {change, {}, group, proposal});
    for (int rank = 0; rank < ranks; ++rank) {
      ConfirmRecord confirm;
      confirm.change = change;
      confirm.rank = rank;
      fold = FoldMapEntry(std::move(fold), {++offset, {}, group, confirm});
    }
    base = CurrentMap(MapsOfGroup(fold, group)).version;
    if (base != change) {
      std::abort();
    }
  });
  ReportMeasurement("map_change_us", ranks, us, "us");
  ReportMeasurement("map_change_appends", ranks, ranks + 1, "appends");
}

}  // namespace

void MeasureMaps() {
  for (const int ranks : {8, 16, 32, 64, 128}) {
    MeasureMapChange(ranks);
  }
}

}  // namespace toucanhollow
