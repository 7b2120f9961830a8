// The rows of the fault matrix: the procedures and their steps.
#ifndef FAULT_MATRIX_PROCEDURE_H_
#define FAULT_MATRIX_PROCEDURE_H_

#include <string>
#include <vector>

#include "scenario/moment.h"
#include "scenario/scenario.h"

namespace toucanhollow {

enum class Procedure {
  kStreamedDraft,
  kIdempotentRead,
  kKeyedCall,
  kUnkeyedCall,
  kColdStart,
  kRepeatedFailures,
  kDrain,
  kReturn,
  kPublication,
  kEndpointLeaves,
  kAgentShutdown,
  kEntryHostShutdown,
  kMapChange,
};

// A procedure without faults, and the parts that faults strike at.
struct ProcedureCase {
  Procedure procedure = Procedure::kStreamedDraft;
  Scenario scenario = {};
  std::string entry_host = {};
  // The agent that the procedure involves, and its data centre.
  std::string agent = {};
  std::string data_centre = {};
  // Another data centre.
  std::string other_data_centre = {};
};

std::string NameOfProcedure(Procedure procedure);
std::vector<Procedure> AllProcedures();

// The steps at which a fault may strike, in order.
std::vector<Moment> StepsOf(Procedure procedure);

// The process at which the step is reached.
std::string ProcessAt(const ProcedureCase& base, Moment moment);

// One case with the agent beside the entry host, and one with the agent in
// another data centre. For the publication, the second case has a log that
// soon drops its entries; for a map change, engines that ignore fencing.
std::vector<ProcedureCase> CasesOf(Procedure procedure);

}  // namespace toucanhollow

#endif  // FAULT_MATRIX_PROCEDURE_H_
