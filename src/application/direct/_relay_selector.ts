/**
 * Selects the relay that an entry host is a member of.
 *
 * @module
 */
import { rankRelays } from '../../domain/overlay/mod.js';
import type { HostState, PlannedHost } from '../../domain/overlay/mod.js';

/**
 * Time within which a relay must send its fleet report, in milliseconds. A new link takes a few
 * milliseconds, and four reports may be lost before the member turns to another relay.
 */
const RELAY_TIMEOUT_MS = 600;

/**
 * Time for which a relay may know less than half of all entry hosts, in milliseconds. A relay
 * that is partitioned from the other entry hosts cuts its members off as well.
 */
const PARTIAL_VIEW_TIMEOUT_MS = 1_500;

/** Fraction of the known entry hosts that a relay's fleet report must cover. */
const MIN_VIEW_FRACTION = 0.5;

/** Inputs of a selection. */
export interface RelaySelectionInputs {
  readonly self: PlannedHost;
  /**
   * Planned relays that are heard from, or that peers have named but that were never heard from.
   */
  readonly relays: readonly HostState[];
  /** Number of known entry hosts, including silent ones. */
  readonly knownCount: number;
  readonly nowMs: number;
}

/** Keeps a relay while it works, and moves to the next one in the ranking when it fails. */
export class RelaySelector {
  #id: string | undefined;

  #lastReportAtMs = 0;

  #lastBroadReportAtMs = 0;

  /** ID of the selected relay; undefined when there is none. */
  get id(): string | undefined {
    return this.#id;
  }

  /**
   * Records a fleet report from the selected relay.
   *
   * @param hostCount - number of entry hosts that the report covers
   * @param circumstances - the number of known entry hosts, and the monotonic time in
   *   milliseconds
   */
  recordFleetReport(
    hostCount: number,
    { knownCount, nowMs }: Pick<RelaySelectionInputs, 'knownCount' | 'nowMs'>,
  ): void {
    this.#lastReportAtMs = nowMs;
    if (hostCount >= knownCount * MIN_VIEW_FRACTION) this.#lastBroadReportAtMs = nowMs;
  }

  /**
   * Keeps the relay, or moves to the next one when it fails.
   *
   * @param inputs - the present inputs
   */
  update({ nowMs, relays, self }: RelaySelectionInputs): void {
    const isHealthy =
      nowMs - this.#lastReportAtMs <= RELAY_TIMEOUT_MS &&
      nowMs - this.#lastBroadReportAtMs <= PARTIAL_VIEW_TIMEOUT_MS;
    if (isHealthy && relays.some(({ identity }) => identity.id === this.#id)) return;
    const rankedIds = rankRelays(self, relays);
    const index = this.#id === undefined ? -1 : rankedIds.indexOf(this.#id);
    this.#id = rankedIds[(index + 1) % Math.max(1, rankedIds.length)];
    this.#lastReportAtMs = nowMs;
    this.#lastBroadReportAtMs = nowMs;
  }
}
