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
const RELAY_TIMEOUT_MS = 600;

/**
 * Time for which a relay may know less than half of all entry hosts, in milliseconds.
 * One that is cut off from the others leaves its members cut off as well.
 */
const PARTIAL_VIEW_TIMEOUT_MS = 1_500;

/** Part of all known entry hosts below which a relay knows too few. */
const MIN_VIEW_FRACTION = 0.5;

/** What a choice depends on. */
export interface RelaySelectionInputs {
  readonly self: PlannedHost;
  /** Relays that are heard, and those that others have told of. */
  readonly relays: readonly HostState[];
  /** Entry hosts that are known, heard or not. */
  readonly knownCount: number;
  readonly nowMs: number;
}

/** Stays with a relay while it serves, and goes on to the next when it doesn't. */
export class RelaySelector {
  #id: string | undefined;

  #lastReportAtMs = 0;

  #lastBroadReportAtMs = 0;

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
  noteFleetReport(
    hostCount: number,
    { knownCount, nowMs }: Pick<RelaySelectionInputs, 'knownCount' | 'nowMs'>,
  ): void {
    this.#lastReportAtMs = nowMs;
    if (hostCount >= knownCount * MIN_VIEW_FRACTION) this.#lastBroadReportAtMs = nowMs;
  }

  /** Stays, or goes on to the next. @param inputs - the present circumstances */
  update({ nowMs, relays, self }: RelaySelectionInputs): void {
    const isServing =
      nowMs - this.#lastReportAtMs <= RELAY_TIMEOUT_MS &&
      nowMs - this.#lastBroadReportAtMs <= PARTIAL_VIEW_TIMEOUT_MS;
    if (isServing && relays.some(({ identity }) => identity.id === this.#id)) return;
    const rankedIds = rankRelays(self, relays);
    const index = this.#id === undefined ? -1 : rankedIds.indexOf(this.#id);
    this.#id = rankedIds[(index + 1) % Math.max(1, rankedIds.length)];
    this.#lastReportAtMs = nowMs;
    this.#lastBroadReportAtMs = nowMs;
  }
}
