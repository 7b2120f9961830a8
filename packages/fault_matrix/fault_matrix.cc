#include "fault_matrix/fault_matrix.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "scenario/run_scenario.h"

namespace toucanhollow {
namespace {

// The second strike of the same fault; the first one still lasts or has just
// ended.
constexpr Duration kTwiceAfter = Seconds(1);

// A distance in time that is fixed for a pair and a round.
Duration PairDistance(const std::string& pair, int round) {
  const std::uint64_t hash = HashText(pair, static_cast<std::uint64_t>(round));
  // Half of the pairs are close, so that both strike the same message.
  const std::uint64_t range = hash % 2 == 0 ? 10'000 : 1'500'000;
  return Duration(static_cast<Duration::rep>((hash >> 8) % range));
}

MatrixCase MakeCase(const ProcedureCase& base,
                    Moment moment,
                    FaultColumn column,
                    const std::vector<Step>& strikes,
                    const std::string& what) {
  MatrixCase made{.procedure = base.procedure,
                  .moment = moment,
                  .column = column,
                  .scenario = base.scenario};
  made.scenario.title = NameOfProcedure(base.procedure) + " at " +
                        std::string(NameOf(moment)) + ": " + what;
  made.scenario.steps.insert(made.scenario.steps.begin(), strikes.begin(),
                             strikes.end());
  return made;
}

void AddCases(std::vector<MatrixCase>& cases,
              const ProcedureCase& base,
              Moment moment,
              FaultColumn column,
              int rounds,
              std::size_t case_index) {
  const std::string name = NameOfColumn(column);
  const std::vector<Step> first = StrikeAt(base, column, moment, Duration{0});
  cases.push_back(MakeCase(base, moment, column, first, name));
  const auto followed_by = [&](FaultColumn other, Duration after,
                               const std::string& what) {
    std::vector<Step> strikes = first;
    for (const Step& step : StrikeAt(base, other, moment, after)) {
      strikes.push_back(step);
    }
    cases.push_back(MakeCase(base, moment, column, strikes, what));
  };
  followed_by(column, kTwiceAfter, name + " twice");
  for (const FaultColumn other : AllColumns()) {
    const std::string pair = name + ", then " + NameOfColumn(other);
    // A single round tries each pair in one of the two cases of a procedure.
    const std::uint64_t chosen = HashText(pair + std::string(NameOf(moment)));
    if (other == column || (rounds == 1 && chosen % 2 != case_index)) {
      continue;
    }
    for (int round = 0; round < rounds; ++round) {
      followed_by(
          other,
          PairDistance(base.agent + std::string(NameOf(moment)) + pair, round),
          pair);
    }
  }
}

}  // namespace

std::vector<MatrixCase> GenerateCases(int rounds) {
  std::vector<MatrixCase> cases;
  for (const Procedure procedure : AllProcedures()) {
    const std::vector<ProcedureCase> bases = CasesOf(procedure);
    for (std::size_t i = 0; i < bases.size(); ++i) {
      for (const Moment moment : StepsOf(procedure)) {
        for (const FaultColumn column : AllColumns()) {
          AddCases(cases, bases[i], moment, column, rounds, i);
        }
      }
    }
  }
  return cases;
}

std::vector<MatrixFailure> RunCases(const std::vector<MatrixCase>& cases,
                                    Defect defect,
                                    int threads) {
  std::vector<MatrixFailure> failures;
  std::mutex mutex;
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t index = next++; index < cases.size(); index = next++) {
      const ScenarioResult result = RunScenario(cases[index].scenario, defect);
      std::vector<Violation> violations = CheckInvariants(result.seen);
      if (!violations.empty()) {
        const std::scoped_lock lock(mutex);
        failures.push_back({index, std::move(violations)});
      }
    }
  };
  std::vector<std::jthread> pool;
  for (int i = 0; i < std::max(threads, 1); ++i) {
    pool.emplace_back(work);
  }
  pool.clear();
  std::ranges::sort(failures, {}, &MatrixFailure::index);
  return failures;
}

std::string DescribeFailure(const MatrixCase& matrix_case,
                            const MatrixFailure& failure,
                            Defect defect) {
  std::string text;
  for (const Violation& violation : failure.violations) {
    text += violation.invariant + ": " + violation.detail + "\n";
  }
  const ScenarioResult traced = RunScenario(matrix_case.scenario, defect, true);
  return text + DescribeRun(matrix_case.scenario, traced.seen);
}

std::string FormatMatrix(const std::vector<MatrixCase>& cases,
                         const std::vector<MatrixFailure>& failures) {
  using Cell = std::pair<std::pair<Procedure, Moment>, FaultColumn>;
  std::map<Cell, int> total;
  std::map<Cell, int> red;
  for (const MatrixCase& matrix_case : cases) {
    ++total[{{matrix_case.procedure, matrix_case.moment}, matrix_case.column}];
  }
  for (const MatrixFailure& failure : failures) {
    const MatrixCase& failed = cases[failure.index];
    ++red[{{failed.procedure, failed.moment}, failed.column}];
  }
  std::string text =
      "# Fault matrix\n\n"
      "`scripts/fault_matrix` writes this page. A row is a step of a "
      "procedure, a column is a fault that strikes when the step is reached. "
      "Each cell holds the number of its cases: the fault once, twice, and "
      "followed by each other fault, in the two cases of the procedure. Every "
      "case runs the deciding functions against "
      "fakes with a fixed seed and is judged against the invariants I1 to I9. "
      "A cell with failed cases shows them as `failed/cases`.\n\n";
  text += std::to_string(cases.size()) + " cases, " +
          std::to_string(failures.size()) + " failed.\n\n| step |";
  std::string rule = "|---|";
  for (const FaultColumn column : AllColumns()) {
    text += " " + NameOfColumn(column) + " |";
    rule += "---|";
  }
  text += "\n" + rule + "\n";
  for (const Procedure procedure : AllProcedures()) {
    for (const Moment moment : StepsOf(procedure)) {
      text += "| " + NameOfProcedure(procedure) + ": " +
              std::string(NameOf(moment)) + " |";
      for (const FaultColumn column : AllColumns()) {
        const Cell cell{{procedure, moment}, column};
        text += " ";
        if (red.contains(cell)) {
          text += std::to_string(red[cell]) + "/";
        }
        text += std::to_string(total[cell]) + " |";
      }
      text += "\n";
    }
  }
  return text;
}

}  // namespace toucanhollow
