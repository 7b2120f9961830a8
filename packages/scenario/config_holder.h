// The configuration in one run of a process: folds what it reads and merges
// what peers tell, and records what comes into force.
#ifndef SCENARIO_CONFIG_HOLDER_H_
#define SCENARIO_CONFIG_HOLDER_H_

#include <string>

#include "base/log_entry.h"
#include "config/config_fold.h"
#include "scenario/world.h"
#include "wire/message.h"

namespace toucanhollow {

class ConfigHolder {
 public:
  ConfigHolder(World& world, std::string process, Incarnation incarnation);

  // Each returns true if something came into force.
  bool Fold(const LogEntry& entry);
  bool Merge(const Snapshot& snapshot);

  void NoteEnd(LogOffset end);
  Snapshot Take() const;
  LogOffset Offset() const { return ConfigOffset(this->state); }
  const ConfigState& State() const { return this->state; }
  bool IsReady() const { return this->state.has_source; }
  // True if records may exist that this process cannot decide.
  bool HasGap() const;
  bool IsOut(const std::string& data_centre) const;

 private:
  bool ObserveChanges();

  World& world;
  std::string process;
  Incarnation incarnation;
  ConfigState state;
  std::map<ConfigSubject, LogOffset> observed;
};

// The subject of a data centre's record, and its content.
ConfigSubject DataCentreSubject(const std::string& data_centre);
std::string DataCentreText(bool out);

}  // namespace toucanhollow

#endif  // SCENARIO_CONFIG_HOLDER_H_
