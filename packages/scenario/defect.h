// Deliberate defects. Each takes one guarding rule out of a performer or of
// what it passes to the deciding functions, so that tests can show that the
// checker of the invariants notices the loss of that rule.
#ifndef SCENARIO_DEFECT_H_
#define SCENARIO_DEFECT_H_

namespace toucanhollow {

enum class Defect {
  kNone,
  // A keyed call runs on arrival, before its claim is settled.
  kRunBeforeClaim,
  // The agent treats every dispatch as addressed to its own incarnation.
  kAcceptOldIncarnation,
  // A second copy of a dispatch is taken for a new dispatch.
  kForgetDispatches,
  // A lost answer to a sent request is reported as "not run".
  kNotRunAfterSend,
  // A non-repeatable request is sent again after it may have run.
  kRetryNonRepeatable,
  // Dispatches are admitted whatever the limit.
  kAcceptOverLimit,
  // A new agent takes its engine for warm.
  kStartWarm,
  // Sender and agent ignore that a data centre is out.
  kIgnoreOut,
  // The agent goes on taking work after it began to leave.
  kIgnoreLeaving,
  // Open streams are cut when an entry host shuts down.
  kCutOnShutdown,
  // An answer that stopped short is passed on as whole.
  kTruncatedAsWhole,
  // Pieces are added to an answer whatever attempt they belong to.
  kIgnoreCorrelation,
  // Retries are not counted against the budget.
  kForgetRetryBudget,
  // An engine activates a staged map at the step without the decision.
  kActivateWithoutDecision,
  // The engine does not hold before the activation step.
  kNoHold,
  // A record is accepted whatever revision it expects.
  kAcceptAnyRevision,
  // A record whose expected revision cannot be verified is accepted.
  kDropUndecided,
  // A snapshot replaces newer records.
  kSnapshotReverts,
};

}  // namespace toucanhollow

#endif  // SCENARIO_DEFECT_H_
