// The signals that stop or reload a process, which are blocked until watchers
// for them exist, and those that must not end it.
#ifndef PROCESS_SIGNALS_PROCESS_SIGNALS_H_
#define PROCESS_SIGNALS_PROCESS_SIGNALS_H_

namespace toucanhollow {

// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread. They stay pending.
// Uses nothing that a constructor of a library or of the program initialises.
void BlockProcessSignals();

// Unblocks them, also if the parent process had blocked them.
void UnblockProcessSignals();

// Ignores the signals that a process gets without being meant to end: from a
// write to a closed connection or to a file of the maximum size (the write then
// fails), from the soft limit on processor time, from timers and descriptors
// that it has inherited, and from tools that rotate logs.
void IgnoreHarmlessSignals();

}  // namespace toucanhollow

#endif  // PROCESS_SIGNALS_PROCESS_SIGNALS_H_
