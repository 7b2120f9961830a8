// The columns of the fault matrix: the faults of the failure model, aimed at
// the parts of a procedure.
#ifndef FAULT_MATRIX_FAULT_COLUMN_H_
#define FAULT_MATRIX_FAULT_COLUMN_H_

#include <string>
#include <vector>

#include "fault_matrix/procedure.h"
#include "scenario/scenario.h"

namespace toucanhollow {

enum class FaultColumn {
  kStall,
  kLateToAgent,
  kLateToEntryHost,
  kDoubled,
  kLostToAgent,
  kLostToEntryHost,
  kEntryHostDies,
  kAgentDies,
  kEntryHostPauses,
  kAgentPauses,
  kTurnsCold,
  kEngineDies,
  kLogDown,
  kLogSlow,
  kAnswerLost,
  kOperatorsRace,
  kPlatformCut,
  kDataCentresCut,
};

std::string NameOfColumn(FaultColumn column);
std::vector<FaultColumn> AllColumns();

// The steps that let the fault strike when the moment is reached, `after`
// later. A process that dies is started again.
std::vector<Step> StrikeAt(const ProcedureCase& base,
                           FaultColumn column,
                           Moment moment,
                           Duration after);

}  // namespace toucanhollow

#endif  // FAULT_MATRIX_FAULT_COLUMN_H_
