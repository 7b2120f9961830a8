// One operator who publishes one record: reads the present revision, appends,
// and reads back by the change identifier when the answer is lost.
#ifndef SCENARIO_OPERATOR_PERFORMER_H_
#define SCENARIO_OPERATOR_PERFORMER_H_

#include <string>

#include "scenario/site.h"

namespace toucanhollow {

// Publishes the state of the data centre. `name` is a node at the platform.
// Runs until the operator is told an outcome.
void PublishDataCentre(Site& site,
                       const std::string& name,
                       const std::string& data_centre,
                       bool out);

}  // namespace toucanhollow

#endif  // SCENARIO_OPERATOR_PERFORMER_H_
