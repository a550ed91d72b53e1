/**
 * Few entry hosts read the store; they tell the others.
 *
 * @module
 */
import { computeElapsedMs } from '../../domain/freshness/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, FeedUpdateMessage, Metrics, PeerNetwork } from '../../ports/mod.js';
import type { FeedContext, FeedFollower, FeedUpdate } from './feed_follower.js';
import type { HostReports } from './host_reports.js';

/**
 * Longest waits of the readers' reads, in milliseconds, by their place. The first
 * confirms often; the second stands by and hears of changes as early. Each call to
 * the store has its price, so there are no more than these, however many entry
 * hosts there are.
 */
const READER_WAITS_MS: readonly number[] = [800, 1_600];

/**
 * Time without word from a reader after which an entry host reads for itself, in
 * milliseconds: half as long again as the first reader's wait. A configuration must
 * be in force within two seconds, also when a reader has just died.
 */
const TAKE_OVER_MS = 1_200;

/** Time between two tries of an entry host that can't reach the store itself while peers can, in milliseconds. */
const PROBE_INTERVAL_MS = 2_000;

/** What the sharing needs. */
export interface FeedSharingOptions {
  readonly self: EntryHostIdentity;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  readonly reports: HostReports;
  readonly follower: FeedFollower;
}

/**
 * Decides who reads, passes on what was read, and takes in what peers have read.
 *
 * How old a passed-on confirmation is can't be seen from its arrival: it may have
 * waited in a buffer, or this process may have been suspended. So a reader names the
 * newest report that it had from the receiver when it wrote, and the receiver counts
 * from the moment at which it sent that report.
 */
export class FeedSharing {
  readonly #options: FeedSharingOptions;

  #heardAtMs = Number.NEGATIVE_INFINITY;

  #probedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - what the sharing needs */
  constructor(options: FeedSharingOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.FeedUpdate, (from, message) =>
      this.#handleUpdate(from, message),
    );
  }

  /** @returns longest wait of the next read in milliseconds; undefined: peers read */
  getWaitMs(): number | undefined {
    const { clock, follower } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#heardAtMs > TAKE_OVER_MS) return READER_WAITS_MS[0];
    if (follower.isInTouch) return READER_WAITS_MS[this.#computePlace()];
    if (nowMs - this.#probedAtMs < PROBE_INTERVAL_MS) return undefined;
    this.#probedAtMs = nowMs;
    return READER_WAITS_MS[0];
  }

  /**
   * Passes on what this entry host has read.
   *
   * @param update - the changes
   * @param context - when they were asked for
   */
  sendUpdate(update: FeedUpdate, { askedAt, wasAway }: FeedContext): void {
    const { peers, clock, reports } = this.#options;
    const message: FeedUpdateMessage = {
      type: PeerMessageType.FeedUpdate,
      ...update,
      ageMs: computeElapsedMs(askedAt, { steadyMs: clock.nowMs(), wallMs: clock.wallMs() }),
      wasAway,
      heardReports: reports.listHeardSequences(),
    };
    peers.listLinked().forEach(({ incarnation }) => peers.send(incarnation, message));
  }

  /** Place among those that reach the store; the lowest names read. */
  #computePlace(): number {
    const { self, reports } = this.#options;
    return reports
      .listHeard()
      .filter(({ report, identity }) => report.isInTouch && identity.id < self.id).length;
  }

  #handleUpdate(from: EntryHostIdentity, message: FeedUpdateMessage): void {
    const { self, reports, follower, metrics } = this.#options;
    const askedAt = reports.findSentAt(message.heardReports[self.incarnation]);
    // Without a report of ours that the reader has seen, nothing bounds the update's age.
    if (!askedAt) return;
    const { ageMs, wasAway } = message;
    const isWhole = follower.applyUpdate(message, { askedAt, ageMs, wasAway });
    metrics.count('feed_updates_total', { from: from.id, result: isWhole ? 'applied' : 'gap' });
    if (isWhole) this.#heardAtMs = this.#options.clock.nowMs();
  }
}
