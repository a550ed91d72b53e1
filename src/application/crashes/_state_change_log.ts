/**
 * Logs and counts what may be sent of contents and parts.
 *
 * @module
 */
import { SuspectState } from '../../domain/crashes/mod.js';
import type { SuspectStateChange } from '../../domain/crashes/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { EventLog, Metrics } from '../../ports/mod.js';

/** Log events and metrics of state changes. */
const STATE_CHANGE_EVENTS: Readonly<Record<SuspectState, string>> = {
  [SuspectState.Free]: 'request_released',
  [SuspectState.Probation]: 'request_doubted',
  [SuspectState.Quarantined]: 'request_held',
};

/**
 * @param sinks - where the line and the count go
 * @param change - the change, and what speaks for it
 */
export function logStateChange(
  { log, metrics }: { readonly log: EventLog; readonly metrics: Metrics },
  change: SuspectStateChange,
): void {
  const event = STATE_CHANGE_EVENTS[change.state];
  log.write(LogLevel.Warn, event, {
    contentId: change.contentId,
    crashes: change.crashIds.join(),
    crashedAgoMs: change.crashedAgoMs.join(),
    accounts: change.accountIds.join(),
    trials: change.trialCount,
  });
  metrics.count(`${event}_total`);
}
