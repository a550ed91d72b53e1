/**
 * Compares which entry hosts peers hear with those that this one hears.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { LogLevel } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostState, Roster } from '../../domain/overlay/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';

/** Time for which views may differ while reports are on their way, in milliseconds. */
const TOLERATED_MS = 400;

/** Time for which views differ before operators are told, in milliseconds. */
const REPORTED_AFTER_MS = 2_000;

/** Shortest time between two full lists for one peer, in milliseconds. */
const LIST_INTERVAL_MS = 1_000;

interface DifferingView {
  readonly sinceMs: number;
  readonly peer: EntryHostIdentity;
  listedAtMs: number;
  isLogged: boolean;
}

/** Dependencies of {@link ViewComparison}. */
export interface ViewComparisonOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly roster: Roster;
}

/**
 * Notices peers that hear other hosts than this one. Reports contain changes only, so a host that
 * was left out of a first report would stay unknown to its receiver.
 */
export class ViewComparison {
  readonly #options: ViewComparisonOptions;

  /** By incarnation. */
  readonly #differing = new Map<string, DifferingView>();

  /** The hosts that the digest stands for; the same array until any of them changes. */
  #heard: readonly HostState[] = [];

  #digest: number | undefined;

  /** @param options - dependencies */
  constructor(options: ViewComparisonOptions) {
    this.#options = options;
  }

  /** Digest of the processes that this host hears, and of itself. */
  get digest(): number {
    const { roster } = this.#options;
    const heard = roster.listHeard();
    if (this.#digest === undefined || heard !== this.#heard) {
      const processes = [roster.self, ...heard].map(({ identity }) => identity.incarnation);
      const hash = createHash('sha256').update(processes.sort().join());
      this.#digest = hash.digest().readUInt32BE();
    }
    this.#heard = heard;
    return this.#digest;
  }

  /**
   * Compares the view that a peer's report states.
   *
   * @param peer - the peer
   * @param digest - digest of the hosts that it hears; undefined in a version that states none
   */
  recordReport(peer: EntryHostIdentity, digest: number | undefined): void {
    const { clock } = this.#options;
    const { incarnation } = peer;
    if (digest === undefined || digest === this.digest) this.#differing.delete(incarnation);
    else if (!this.#differing.has(incarnation)) {
      const listedAtMs = Number.NEGATIVE_INFINITY;
      this.#differing.set(incarnation, {
        peer,
        sinceMs: clock.nowMs(),
        listedAtMs,
        isLogged: false,
      });
    }
  }

  /** @param incarnation - a peer. @returns whether its next report must name all relays */
  takeList(incarnation: string): boolean {
    const view = this.#differing.get(incarnation);
    const nowMs = this.#options.clock.nowMs();
    if (!view || nowMs - view.sinceMs < TOLERATED_MS) return false;
    if (nowMs - view.listedAtMs < LIST_INTERVAL_MS) return false;
    view.listedAtMs = nowMs;
    return true;
  }

  /**
   * Forgets peers that are silent, and logs views that differ for long.
   *
   * @param isReporting - tells whether a peer still reports
   * @returns number of peers whose view has differed for long
   */
  review(isReporting: (incarnation: string) => boolean): number {
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    let count = 0;
    this.#differing.forEach((view, incarnation) => {
      if (!isReporting(incarnation)) this.#differing.delete(incarnation);
      else if (nowMs - view.sinceMs >= REPORTED_AFTER_MS) {
        count += 1;
        const differsMs = Math.round(nowMs - view.sinceMs);
        const fields = { entryHost: view.peer.id, incarnation, differsMs };
        if (!view.isLogged) log.write(LogLevel.Warn, 'entry_host_view_differs', fields);
        Object.assign(view, { isLogged: true });
      }
    });
    return count;
  }
}
