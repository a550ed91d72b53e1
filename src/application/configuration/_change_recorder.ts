/**
 * Tells operators, by log lines and metrics, what became of published documents.
 *
 * @module
 */
import { findAccountOfKey } from '../../domain/configuration/mod.js';
import type { RejectedEntry } from '../../domain/configuration/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics } from '../../ports/mod.js';

/** Most reasons of a refused document that one log line carries. */
const MAX_LOGGED_REASONS = 3;

/** Where a change came from. */
export enum ChangeSource {
  Service = 'service',
  Peer = 'peer',
}

/** What the recorder needs. */
export interface ChangeRecorderOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** One change that came into force. */
export interface RecordedChange {
  /** Highest accepted revision after it. */
  readonly revision: number;
  /** How many entries changed. */
  readonly count: number;
  readonly source: ChangeSource;
  /** Accounts one of whose API keys another account has. */
  readonly keyClashes: readonly string[];
}

/** Records what happens to the configuration of one entry host. */
export class ChangeRecorder {
  readonly #options: ChangeRecorderOptions;

  #isServiceBehind = false;

  /** @param options - where to record */
  constructor(options: ChangeRecorderOptions) {
    this.#options = options;
  }

  /** @param change - what came into force */
  recordChange({ revision, count, source, keyClashes }: RecordedChange): void {
    const { clock, log, metrics } = this.#options;
    metrics.count('configuration_changes_total', { source }, count);
    metrics.set('configuration_revision', revision);
    // Whoever publishes can take the time to in force from this, on each entry host.
    metrics.set('configuration_in_force_at_ms', clock.wallMs());
    log.write(LogLevel.Info, 'configuration_in_force', { revision, changed: count, source });
    keyClashes.forEach((account) => {
      log.write(LogLevel.Warn, 'configuration_key_claimed_twice', { account });
    });
  }

  /** @param entry - a document that was refused whole */
  recordRefused({ key, revision, reasons }: RejectedEntry): void {
    this.#options.metrics.count('configuration_rejected_total');
    this.#options.log.write(LogLevel.Warn, 'configuration_document_rejected', {
      account: findAccountOfKey(key),
      key,
      revision,
      faults: reasons.length,
      reasons: reasons.slice(0, MAX_LOGGED_REASONS).join('; '),
    });
  }

  /**
   * Says so once when the service begins to answer with less than is in force,
   * and once when that ends.
   *
   * @param index - the index that the service answered with
   * @param highest - the highest that was heard of so far
   */
  recordServiceIndex(index: number, highest: number): void {
    const isBehind = index < highest;
    if (isBehind === this.#isServiceBehind) return;
    this.#isServiceBehind = isBehind;
    this.#options.log.write(
      isBehind ? LogLevel.Warn : LogLevel.Info,
      isBehind ? 'configuration_service_behind' : 'configuration_service_caught_up',
      { index, highest },
    );
  }
}
