// The signals that stop or reload a process. They are blocked until watchers
// for them exist, because their default action ends the process.
#ifndef PROCESS_SIGNALS_PROCESS_SIGNALS_H_
#define PROCESS_SIGNALS_PROCESS_SIGNALS_H_

namespace toucanhollow {

// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread. They stay pending.
// Uses nothing that a constructor of a library or of the program initialises.
void BlockProcessSignals();

// Unblocks them, also if the parent process had blocked them.
void UnblockProcessSignals();

// Ignores the signals that a write to a closed connection or to a file of the
// maximum size raises; the write then fails.
void IgnoreWriteSignals();

}  // namespace toucanhollow

#endif  // PROCESS_SIGNALS_PROCESS_SIGNALS_H_
