#include "fault_matrix/check_invariants.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "scenario/fake_endpoint.h"

namespace toucanhollow {
namespace {

// Bounds of I3 and I7.
constexpr Duration kNoNewWorkAfter = Seconds(3);
// Bound of I9.
constexpr Duration kInForceWithin = Seconds(13);
// A data centre that is out for longer returns cold.
constexpr Duration kOutTolerance = Seconds(5);
// Retries of an entry host: a part of its requests, and a stock at the start.
constexpr double kRetryShare = 0.1;
constexpr double kRetriesAtStart = 10;
// Time after the last fault in which service must have returned.
constexpr Duration kRecovery = Seconds(8);
// What an endpoint bears: at first, and at most.
constexpr int kColdLimit = 2;
constexpr int kFullLimit = 32;

std::string At(TimePoint time) {
  return " at " + std::to_string(time.time_since_epoch().count()) + " us";
}

TimePoint EndOf(const FaultSeen& seen) {
  return seen.time + seen.fault.duration + seen.fault.delay;
}

std::string NameOfCode(ResultCode code) {
  return std::string(DescribeResultCode(code).name);
}

bool IsOpenAt(const Run& run, TimePoint time) {
  const bool never_ended =
      !run.whole && !run.cancelled && run.ended == run.started;
  return run.started <= time && (never_ended || run.ended > time);
}

class Checker {
 public:
  explicit Checker(const Observations& seen) : seen(seen) {
    for (const CallerTold& told : seen.told) {
      this->told_of[told.request] = &told;
    }
    // A record is accepted if and only if it expects the present revision.
    std::map<std::string, std::int64_t> present;
    for (const LoggedRecord& record : seen.logged) {
      if (record.expected_revision == present[record.subject]) {
        present[record.subject] = record.revision;
        this->accepted.push_back(&record);
      }
    }
    for (const FaultSeen& fault : seen.faults) {
      this->quiet = std::max(this->quiet, EndOf(fault));
    }
    for (const NodeEvent& event : seen.nodes) {
      if (event.fact == NodeFact::kProcessStarted ||
          event.fact == NodeFact::kEngineStarted) {
        this->quiet = std::max(this->quiet, event.time);
      }
    }
  }

  std::vector<Violation> Check() {
    this->CheckMaps();
    this->CheckColdLoad();
    this->CheckOut();
    this->CheckReturn();
    this->CheckLeaving();
    this->CheckRecords();
    this->CheckInForce();
    this->CheckAnswers();
    this->CheckRefusals();
    this->CheckAtMostOnce();
    this->CheckShutdown();
    this->CheckRetries();
    this->CheckService();
    return std::move(this->violations);
  }

 private:
  void Report(const char* invariant, std::string detail) {
    this->violations.push_back({invariant, std::move(detail)});
  }

  const CallerTold* ToldOf(const std::string& request) const {
    const auto found = this->told_of.find(request);
    return found == this->told_of.end() ? nullptr : found->second;
  }

  // The next such event of the node, or the end of the run.
  TimePoint Next(const std::string& node, NodeFact fact, TimePoint after) {
    TimePoint next = this->seen.end;
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.node == node && event.fact == fact && event.time > after) {
        next = std::min(next, event.time);
      }
    }
    return next;
  }

  // I1, and that a group steps on after the faults.
  void CheckMaps() {
    std::map<std::pair<std::string, std::int64_t>, std::int64_t> map_of;
    std::map<std::string, TimePoint> last_step;
    for (const RankStep& step : this->seen.steps) {
      const auto [found, first] =
          map_of.try_emplace({step.group, step.step}, step.map_version);
      if (!first && found->second != step.map_version) {
        this->Report("I1",
                     step.group + " runs step " + std::to_string(step.step) +
                         " on maps " + std::to_string(found->second) + " and " +
                         std::to_string(step.map_version) + At(step.time));
        return;
      }
      last_step[step.group] = step.time;
    }
    for (const auto& [group, time] : last_step) {
      if (this->quiet + kRecovery + Seconds(1) < this->seen.end &&
          time < this->seen.end - Seconds(1)) {
        this->Report("service", group + " has not stepped since" + At(time));
      }
    }
  }

  // I2: from the start of an engine, its load grows by at most one for each
  // completion and at most doubles in each second.
  void CheckColdLoad() {
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact == NodeFact::kEngineStarted) {
        this->CheckLoad(
            event.node, event.time,
            this->Next(event.node, NodeFact::kEngineStarted, event.time));
      }
    }
  }

  void CheckLoad(const std::string& node, TimePoint from, TimePoint to) {
    std::vector<const Run*> runs;
    for (const Run& run : this->seen.runs) {
      if (run.endpoint == node && run.started >= from && run.started < to) {
        runs.push_back(&run);
      }
    }
    for (const Run* run : runs) {
      const auto load = std::ranges::count_if(runs, [&](const Run* other) {
        return IsOpenAt(*other, run->started);
      });
      const auto completed = std::ranges::count_if(runs, [&](const Run* other) {
        return other->whole && other->ended <= run->started;
      });
      const auto seconds =
          std::chrono::duration_cast<std::chrono::seconds>(run->started - from)
              .count();
      const std::int64_t doubled =
          seconds >= 4 ? kFullLimit : kColdLimit << (seconds + 1);
      const std::int64_t bound =
          std::min<std::int64_t>({kFullLimit, kColdLimit + completed, doubled});
      if (load > bound) {
        this->Report("I2", node + " bears " + std::to_string(load) +
                               " requests instead of " + std::to_string(bound) +
                               At(run->started));
        return;
      }
    }
  }

  // The next accepted record of the subject, or the end of the run.
  TimePoint NextRecord(const LoggedRecord& record) const {
    for (const LoggedRecord* later : this->accepted) {
      if (later->subject == record.subject &&
          later->revision > record.revision) {
        return later->time;
      }
    }
    return this->seen.end;
  }

  bool IsActive(FaultKind kind,
                const std::string& target,
                TimePoint from,
                TimePoint to) const {
    return std::ranges::any_of(this->seen.faults, [&](const FaultSeen& fault) {
      return fault.fault.kind == kind &&
             (target.empty() || fault.fault.target == target) &&
             fault.time <= to && EndOf(fault) >= from;
    });
  }

  // True where the page lets work go on: nobody can read the log, the data
  // centre is cut off from the log and no entry host elsewhere can pass the
  // record on, or the agent was paused between its decision and the start.
  bool MayNotKnow(const Run& run, TimePoint since) const {
    const TimePoint from = std::max(since, run.started - kNoNewWorkAfter);
    const auto active = [&](FaultKind kind, const std::string& target) {
      return this->IsActive(kind, target, from, run.started);
    };
    return active(FaultKind::kLogDown, "") || active(FaultKind::kLogSlow, "") ||
           (active(FaultKind::kCutFromPlatform, run.data_centre) &&
            (active(FaultKind::kCutDataCentres, "") ||
             std::ranges::any_of(this->seen.asked,
                                 [&](const CallerAsked& asked) {
                                   return active(FaultKind::kPause,
                                                 asked.entry_host);
                                 }))) ||
           active(FaultKind::kPause, run.endpoint);
  }

  // A keyed call that the agent had accepted before the record was in flight
  // while it waited for its claim, and requests in flight finish.
  bool WaitedForClaim(const Run& run, TimePoint since) const {
    return !run.key.empty() &&
           std::ranges::any_of(this->seen.asked, [&](const CallerAsked& asked) {
             return asked.request == run.request && asked.time < since;
           });
  }

  // I3.
  void CheckOut() {
    for (const LoggedRecord* record : this->accepted) {
      const TimePoint next = this->NextRecord(*record);
      for (const Run& run : this->seen.runs) {
        if (record->out && run.data_centre == record->subject &&
            run.started > record->time + kNoNewWorkAfter &&
            run.started < next && !this->MayNotKnow(run, record->time) &&
            !this->WaitedForClaim(run, record->time)) {
          this->Report("I3", run.endpoint + " started " + run.request +
                                 At(run.started) + ", " + record->subject +
                                 " is out" + At(record->time));
        }
      }
    }
  }

  // I2: after more than 5 s out, a data centre returns cold. Agents measure
  // the time between reading the records, hence the margin.
  void CheckReturn() {
    for (const LoggedRecord* record : this->accepted) {
      const TimePoint back = this->NextRecord(*record);
      if (!record->out || back == this->seen.end ||
          back - record->time < kOutTolerance + kNoNewWorkAfter ||
          this->IsActive(FaultKind::kLogDown, "", record->time, back) ||
          this->IsActive(FaultKind::kLogSlow, "", record->time, back)) {
        continue;
      }
      std::set<std::string> endpoints;
      for (const Run& run : this->seen.runs) {
        if (run.data_centre == record->subject) {
          endpoints.insert(run.endpoint);
        }
      }
      for (const std::string& endpoint : endpoints) {
        if (!this->IsActive(FaultKind::kPause, endpoint, record->time,
                            back + kNoNewWorkAfter)) {
          this->CheckLoad(endpoint, back, this->seen.end);
        }
      }
    }
  }

  // I9: every process has only accepted records in force, never goes back, and
  // operators are told the truth.
  void CheckRecords() {
    std::map<std::pair<std::string, std::string>,
             std::pair<std::uint64_t, std::int64_t>>
        last;
    for (const RecordSeen& seen_record : this->seen.records) {
      const bool known =
          std::ranges::any_of(this->accepted, [&](const LoggedRecord* record) {
            return record->subject == seen_record.subject &&
                   record->revision == seen_record.revision;
          });
      if (!known) {
        this->Report("I9", seen_record.process + " has revision " +
                               std::to_string(seen_record.revision) + " of " +
                               seen_record.subject +
                               " in force, which is void" +
                               At(seen_record.time));
      }
      auto& [incarnation, revision] =
          last[{seen_record.process, seen_record.subject}];
      if (incarnation == seen_record.incarnation &&
          seen_record.revision < revision) {
        this->Report("I9", seen_record.process + " went back to revision " +
                               std::to_string(seen_record.revision) + " of " +
                               seen_record.subject + At(seen_record.time));
      }
      incarnation = seen_record.incarnation;
      revision = seen_record.revision;
    }
    for (const OperatorTold& told : this->seen.operators) {
      const bool accepted =
          std::ranges::any_of(this->accepted, [&](const LoggedRecord* record) {
            return record->change_id == told.change_id;
          });
      if (accepted != told.accepted) {
        this->Report("I9", "the operator of " + told.change_id +
                               " was told the contrary of the log");
      }
    }
  }

  // I9: the last accepted record is in force in every process in time.
  void CheckInForce() {
    std::map<std::string, TimePoint> alive;
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact == NodeFact::kProcessStarted) {
        alive[event.node] = event.time;
      } else if (event.fact == NodeFact::kProcessDied ||
                 event.fact == NodeFact::kExited) {
        alive.erase(event.node);
      }
    }
    std::map<std::string, const LoggedRecord*> last;
    for (const LoggedRecord* record : this->accepted) {
      last[record->subject] = record;
    }
    for (const auto& entry : last) {
      const LoggedRecord& record = *entry.second;
      const TimePoint due = std::max(record.time, this->quiet) + kInForceWithin;
      for (const auto& process : alive) {
        if (due <= this->seen.end && !process.first.starts_with("operator-") &&
            !this->HadInForce(process.first, process.second, record, due)) {
          this->Report("I9", process.first + " does not have revision " +
                                 std::to_string(record.revision) + " of " +
                                 record.subject + " in force" + At(due));
        }
      }
    }
  }

  bool HadInForce(const std::string& process,
                  TimePoint started,
                  const LoggedRecord& record,
                  TimePoint due) const {
    return std::ranges::any_of(
        this->seen.records, [&](const RecordSeen& seen_record) {
          return seen_record.process == process &&
                 seen_record.subject == record.subject &&
                 seen_record.time >= started && seen_record.time <= due &&
                 seen_record.revision == record.revision;
        });
  }

  // I7.
  void CheckLeaving() {
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact != NodeFact::kLeavingStarted) {
        continue;
      }
      const TimePoint restart =
          this->Next(event.node, NodeFact::kProcessStarted, event.time);
      for (const Run& run : this->seen.runs) {
        if (run.endpoint == event.node && run.started < restart &&
            run.started > event.time + kNoNewWorkAfter) {
          this->Report("I7", event.node + " is leaving and started " +
                                 run.request + At(run.started));
        }
      }
    }
  }

  // I4: an answer is the whole answer to the caller's own request, and every
  // caller learns an outcome.
  void CheckAnswers() {
    for (const CallerAsked& asked : this->seen.asked) {
      const CallerTold* told = this->ToldOf(asked.request);
      if (told == nullptr) {
        this->Report("told", asked.request + " was never told an outcome");
        continue;
      }
      if (told->outcome != CallerOutcome::kAnswered) {
        continue;
      }
      const std::string expected =
          WholeAnswer(asked.key.empty() ? asked.request : asked.key,
                      PiecesOf(asked.kind == RequestKind::kStreamedDraft));
      if (told->answer != expected) {
        this->Report("I4", asked.request + " was answered '" + told->answer +
                               "' instead of '" + expected + "'");
      }
      const bool ran =
          std::ranges::any_of(this->seen.runs, [&](const Run& run) {
            return run.request == asked.request ||
                   (!asked.key.empty() && run.key.ends_with("-" + asked.key));
          });
      if (!ran) {
        this->Report("I4", asked.request + " was answered and never ran");
      }
    }
  }

  // I5.
  void CheckRefusals() {
    for (const Run& run : this->seen.runs) {
      const CallerTold* told = this->ToldOf(run.request);
      if (told != nullptr && told->outcome == CallerOutcome::kRefused) {
        this->Report("I5", run.request + " was refused with " +
                               NameOfCode(told->code) + " and ran" +
                               At(run.started));
      }
    }
  }

  // I6.
  void CheckAtMostOnce() {
    std::map<std::string, std::ptrdiff_t> count;
    for (const Run& run : this->seen.runs) {
      if (!run.key.empty()) {
        ++count["key " + run.key];
      }
    }
    for (const CallerAsked& asked : this->seen.asked) {
      if (asked.kind == RequestKind::kUnkeyedCall) {
        count[asked.request] =
            std::ranges::count(this->seen.runs, asked.request, &Run::request);
      }
    }
    for (const auto& [name, runs] : count) {
      if (runs > 1) {
        this->Report("I6", name + " ran " + std::to_string(runs) + " times");
      }
    }
  }

  // I8.
  void CheckShutdown() {
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact != NodeFact::kExited) {
        continue;
      }
      for (const CallerAsked& asked : this->seen.asked) {
        const CallerTold* told = this->ToldOf(asked.request);
        if (told != nullptr && asked.entry_host == event.node &&
            told->time == event.time && told->connection_broke) {
          this->Report(
              "I8", event.node + " exited and cut " + asked.request + " off");
        }
      }
      for (const Run& run : this->seen.runs) {
        if (run.endpoint == event.node && IsOpenAt(run, event.time) &&
            !run.cancelled) {
          this->Report("I8",
                       event.node + " exited while " + run.request + " ran");
        }
      }
    }
  }

  // Retries of an entry host stay within its budget: a tenth of its requests,
  // and what each of its runs may spend at the start.
  void CheckRetries() {
    std::map<std::string, double> allowed;
    std::map<std::string, std::string> entry_host_of;
    for (const CallerAsked& asked : this->seen.asked) {
      allowed[asked.entry_host] += kRetryShare;
      entry_host_of[asked.request] = asked.entry_host;
    }
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.fact == NodeFact::kProcessStarted) {
        allowed[event.node] += kRetriesAtStart;
      }
    }
    std::set<std::string> ran;
    for (const Run& run : this->seen.runs) {
      if (!ran.insert(run.request).second) {
        allowed[entry_host_of[run.request]] -= 1;
      }
    }
    for (const auto& [entry_host, left] : allowed) {
      if (left < 0) {
        this->Report("retries", entry_host + " exceeded its retry budget by " +
                                    std::to_string(-left));
      }
    }
  }

  // Long after the last fault, requests are answered again.
  void CheckService() {
    std::map<std::string, int> uses;
    for (const CallerAsked& asked : this->seen.asked) {
      // The repeat of a key whose run was lost stays unknown for good.
      const bool is_repeat = !asked.key.empty() && uses[asked.key]++ > 0;
      const CallerTold* told = this->ToldOf(asked.request);
      if (!is_repeat && told != nullptr &&
          asked.time >= this->quiet + kRecovery &&
          told->outcome != CallerOutcome::kAnswered) {
        this->Report("service", asked.request + " failed with " +
                                    NameOfCode(told->code) +
                                    " long after the last fault");
      }
    }
  }

  const Observations& seen;
  std::map<std::string, const CallerTold*> told_of;
  std::vector<const LoggedRecord*> accepted;
  // End of the last fault and of the last start of a process.
  TimePoint quiet{};
  std::vector<Violation> violations;
};

}  // namespace

std::vector<Violation> CheckInvariants(const Observations& seen) {
  return Checker(seen).Check();
}

}  // namespace toucanhollow
