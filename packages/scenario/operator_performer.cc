#include "scenario/operator_performer.h"

#include <memory>
#include <optional>
#include <utility>

#include "config/config_fold.h"
#include "log_codec/config_codec.h"
#include "scenario/config_holder.h"
#include "scenario/log_follower.h"

namespace toucanhollow {
namespace {

// An operator who gets no answer for this long is told that the log is down.
constexpr Duration kGiveUpAfter = Seconds(10);
constexpr Duration kRetryAfter = Milliseconds(500);

struct Publication {
  std::string name;
  Incarnation incarnation;
  std::string data_centre;
  bool out = false;
  std::string change_id;
  TimePoint begun{};
  ConfigState state;
  std::optional<LogOffset> expected;
  bool told = false;
  bool appending = false;
  bool may_have_taken_effect = false;
};

void Tell(Site& site, Publication& work, LogOffset revision, bool accepted) {
  if (std::exchange(work.told, true)) {
    return;
  }
  site.world.seen.operators.push_back({.time = site.world.Now(),
                                       .subject = work.data_centre,
                                       .change_id = work.change_id,
                                       .revision = revision,
                                       .accepted = accepted});
  site.world.Trace(work.name + " is told " +
                   (accepted ? "accepted" : "refused"));
}

void Append(Site& site, const std::shared_ptr<Publication>& work) {
  PublishedRecord record;
  record.subject = DataCentreSubject(work->data_centre);
  record.expected_revision = *work->expected;
  record.copy.change_id = work->change_id;
  record.copy.text = DataCentreText(work->out);
  site.world.Reach(Moment::kRecordSent, work->name);
  work->appending = true;
  work->may_have_taken_effect = true;
  AppendToLog(site.world, work->name, work->incarnation, "config",
              {EncodeRecord(record)},
              [work](AppendAnswer, LogOffset) { work->appending = false; });
}

// What the stream says of the change; appends it when it is not there.
void Follow(Site& site, const std::shared_ptr<Publication>& work) {
  if (work->told) {
    return;
  }
  const auto found = FindChange(work->state, work->change_id);
  if (found && found->outcome != ChangeOutcome::kUndecided) {
    const bool accepted = found->outcome == ChangeOutcome::kAccepted ||
                          found->outcome == ChangeOutcome::kDuplicate;
    Tell(site, *work, found->offset, accepted);
    return;
  }
  if (site.world.Now() - work->begun > kGiveUpAfter) {
    work->told = true;
    site.world.Trace(work->name + " is told that the outcome is unknown");
    return;
  }
  if (work->expected && !work->appending) {
    Append(site, work);
  }
  site.world.InProcessAfter(kRetryAfter, work->name, work->incarnation,
                            [&site, work] { Follow(site, work); });
}

}  // namespace

void PublishDataCentre(Site& site,
                       const std::string& name,
                       const std::string& data_centre,
                       bool out) {
  const auto work = std::make_shared<Publication>();
  work->name = name;
  work->data_centre = data_centre;
  work->out = out;
  work->change_id = name + (out ? "-out-" : "-in-") +
                    std::to_string(site.world.Now().time_since_epoch().count());
  work->begun = site.world.Now();
  site.world.network.AddNode(name, kPlatform);
  work->incarnation = site.world.IncarnationOf(name);
  if (work->incarnation == Incarnation{}) {
    work->incarnation = site.world.StartProcess(name);
  }
  FollowLog(
      site.world, name, work->incarnation, "config",
      [work] { return work->state.next_offset; },
      [&site, work](const LogRead& read) {
        if (!read.reached) {
          return;
        }
        for (const LogEntry& entry : read.entries) {
          work->state =
              FoldEntry(std::move(work->state), DecodeConfig(entry)).state;
        }
        work->state = ObserveConfigLogEnd(std::move(work->state), read.end);
        if (!work->expected && work->state.has_source) {
          work->expected =
              GetRevision(work->state, DataCentreSubject(work->data_centre));
          Follow(site, work);
        }
        const auto found = FindChange(work->state, work->change_id);
        if (found && found->outcome != ChangeOutcome::kUndecided) {
          Follow(site, work);
        }
      });
  // When the log is down from the start, the operator still gives up in time.
  site.world.InProcessAfter(kGiveUpAfter + kRetryAfter, name, work->incarnation,
                            [&site, work] { Follow(site, work); });
}

}  // namespace toucanhollow
