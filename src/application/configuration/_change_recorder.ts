/**
 * Reports to operators, through logs and metrics, whether published configuration documents
 * took effect.
 *
 * @module
 */
import { extractAccountId } from '../../domain/configuration/mod.js';
import type { RejectedEntry } from '../../domain/configuration/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics } from '../../ports/mod.js';

/** Maximum number of validation errors that the log line of a rejected document contains. */
const MAX_LOGGED_REASONS = 3;

/** Origin of a configuration change: the platform's configuration service or a peer. */
export enum ChangeSource {
  Service = 'service',
  Peer = 'peer',
}

/** Dependencies of {@link ChangeRecorder}. */
export interface ChangeRecorderOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** One change that took effect. */
export interface RecordedChange {
  /** Highest accepted revision after the change. */
  readonly revision: number;
  /** Number of entries that changed. */
  readonly entryCount: number;
  readonly source: ChangeSource;
  /** Client accounts that have an API key in common with another client account. */
  readonly keyClashes: readonly string[];
}

/** Logs and counts configuration changes on one entry host. */
export class ChangeRecorder {
  readonly #options: ChangeRecorderOptions;

  #isServiceBehind = false;

  /** @param options - clock, log and metrics to use */
  constructor(options: ChangeRecorderOptions) {
    this.#options = options;
  }

  /** @param change - the change that took effect */
  recordChange({ revision, entryCount, source, keyClashes }: RecordedChange): void {
    const { clock, log, metrics } = this.#options;
    metrics.count('configuration_changes_total', { source }, entryCount);
    metrics.set('configuration_revision', revision);
    // From this gauge operators compute, for each entry host, how long a published
    // change takes until it is in effect.
    metrics.set('configuration_in_force_at_ms', clock.wallMs());
    log.write(LogLevel.Info, 'configuration_in_force', { revision, changed: entryCount, source });
    keyClashes.forEach((account) => {
      log.write(LogLevel.Warn, 'configuration_key_claimed_twice', { account });
    });
  }

  /** @param entry - a document that failed validation; none of it takes effect */
  recordRejected({ key, revision, reasons }: RejectedEntry): void {
    this.#options.metrics.count('configuration_rejected_total');
    this.#options.log.write(LogLevel.Warn, 'configuration_document_rejected', {
      account: extractAccountId(key),
      key,
      revision,
      faults: reasons.length,
      reasons: reasons.slice(0, MAX_LOGGED_REASONS).join('; '),
    });
  }

  /**
   * Logs once when the service starts to answer with a lower index than this entry
   * host already knows, and once when it has caught up.
   *
   * @param index - the index of the service's answer
   * @param highestIndex - the highest index known so far
   */
  recordServiceIndex(index: number, highestIndex: number): void {
    const isBehind = index < highestIndex;
    if (isBehind === this.#isServiceBehind) return;
    this.#isServiceBehind = isBehind;
    this.#options.log.write(
      isBehind ? LogLevel.Warn : LogLevel.Info,
      isBehind ? 'configuration_service_behind' : 'configuration_service_caught_up',
      { index, highest: highestIndex },
    );
  }
}
