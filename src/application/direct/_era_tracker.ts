/**
 * Tracks the eras that the store names in its answers.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { compareEras } from '../../domain/freshness/mod.js';
import type { EventLog } from '../../ports/mod.js';

/** Why the era that an answer names can't be used. */
enum EraFault {
  Missing = 'missing or unreadable',
  Lower = 'lower than before',
}

/** Decides which era an answer belongs to. */
export class EraTracker {
  readonly #log: EventLog;

  #newest = 0;

  #fault: EraFault | undefined;

  /** @param log - receives a line when answers begin to name no usable era */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /** The latest era that the store or a peer has named; 0 before the first one. */
  get newest(): number {
    return this.#newest;
  }

  /** @param era - an era that a peer has named */
  note(era: number): void {
    if (compareEras({ era }, { era: this.#newest }) > 0) this.#newest = era;
  }

  /**
   * Resolves the era of an answer. The store had reached the era that was known before it was
   * asked, so an answer that names none or a lower one still belongs to that era.
   *
   * @param named - era that the answer names; undefined if it names none that can be read
   * @param knownBefore - era that was known when the question was sent
   * @returns the era of the answer
   */
  resolve(named: number | undefined, knownBefore: number): number {
    const fault = findFault(named, knownBefore);
    if (fault !== undefined && fault !== this.#fault) {
      this.#log.write(LogLevel.Warn, 'feed_era_ignored', {
        reason: fault,
        named,
        era: knownBefore,
      });
    }
    this.#fault = fault;
    const era = fault === undefined && named !== undefined ? named : knownBefore;
    this.note(era);
    return era;
  }
}

function findFault(named: number | undefined, knownBefore: number): EraFault | undefined {
  if (named === undefined) return EraFault.Missing;
  return compareEras({ era: named }, { era: knownBefore }) < 0 ? EraFault.Lower : undefined;
}
