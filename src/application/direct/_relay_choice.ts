/**
 * Which relay an entry host is a member of.
 *
 * @module
 */
import { rankRelays } from '../../domain/overlay/mod.js';
import type { HostState, PlannedHost } from '../../domain/overlay/mod.js';

/**
 * Time that a relay has to send its report of all others, in milliseconds: a new link
 * takes some milliseconds, and four reports may be missing before another is asked.
 */
const PATIENCE_MS = 600;

/**
 * Time for which a relay may know less than half of all entry hosts, in milliseconds.
 * One that is cut off from the others leaves its members cut off as well.
 */
const NARROW_PATIENCE_MS = 1_500;

/** Part of all known entry hosts below which a relay knows too few. */
const NARROW_PART = 0.5;

/** What a choice depends on. */
export interface RelayChoiceInputs {
  readonly self: PlannedHost;
  /** Relays that are heard, and those that others have told of. */
  readonly relays: readonly HostState[];
  /** Entry hosts that are known, heard or not. */
  readonly knownCount: number;
  readonly nowMs: number;
}

/** Stays with a relay while it serves, and goes on to the next when it doesn't. */
export class RelayChoice {
  #id: string | undefined;

  #servedAtMs = 0;

  #wideAtMs = 0;

  /** Name of the relay; undefined where there is none. */
  get id(): string | undefined {
    return this.#id;
  }

  /**
   * Notes a report of all others from the relay.
   *
   * @param hostCount - entry hosts that it contains
   * @param circumstances - the present ones
   */
  noteServed(
    hostCount: number,
    { knownCount, nowMs }: Pick<RelayChoiceInputs, 'knownCount' | 'nowMs'>,
  ): void {
    this.#servedAtMs = nowMs;
    if (hostCount >= knownCount * NARROW_PART) this.#wideAtMs = nowMs;
  }

  /** Stays, or goes on to the next. @param inputs - the present circumstances */
  update({ nowMs, relays, self }: RelayChoiceInputs): void {
    const isServed =
      nowMs - this.#servedAtMs <= PATIENCE_MS && nowMs - this.#wideAtMs <= NARROW_PATIENCE_MS;
    if (isServed && relays.some(({ identity }) => identity.id === this.#id)) return;
    const ranked = rankRelays(self, relays);
    const index = this.#id === undefined ? -1 : ranked.indexOf(this.#id);
    this.#id = ranked[(index + 1) % Math.max(1, ranked.length)];
    this.#servedAtMs = nowMs;
    this.#wideAtMs = nowMs;
  }
}
