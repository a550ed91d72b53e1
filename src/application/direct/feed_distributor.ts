/**
 * Lets a few entry hosts read the store and send the updates to all others.
 *
 * @module
 */
import {
  comparePositions,
  computeElapsedMs,
  ConfirmedAge,
  pickLater,
} from '../../domain/freshness/mod.js';
import type { ClockReading, StorePosition } from '../../domain/freshness/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, FeedUpdateMessage, Metrics, PeerNetwork } from '../../ports/mod.js';
import { UpdateEffect } from './_feed_state.js';
import { PROBE_WAIT_MS } from './feed_follower.js';
import type { FeedFollower } from './feed_follower.js';
import type { ReadPlan, RetryBackoff } from './feed_follower_options.js';
import { buildConfirmation, getEndPosition } from './feed_update.js';
import type { FeedContext, FeedUpdate } from './feed_update.js';
import type { HostReports } from './host_reports.js';

/**
 * Longest waits of the readers' reads, in milliseconds, by reader rank. The first reader
 * confirms the state often; the second is on standby and learns of changes just as early. Each
 * call to the store costs something, so the number of readers doesn't grow with the number of
 * entry hosts.
 */
const READER_WAITS_MS: readonly number[] = [800, 1_600];

/**
 * Time without an update from a reader after which an entry host reads for itself, in
 * milliseconds: one and a half times the first reader's wait. A configuration must be in force
 * within two seconds, also when a reader has just died.
 */
const TAKEOVER_AFTER_MS = 1_200;

/**
 * Time over which takeovers are staggered, first among relays and then among members, in
 * milliseconds. The first host to take over sends updates to the others within a few
 * milliseconds. When twenty hosts took over at once, they made 18 calls, and 18 more when the
 * store cut them off.
 */
const RELAY_STAGGER_MS = 400;
const MEMBER_STAGGER_MS = 800;

/**
 * Time after its first complete read for which an entry host doesn't read unless updates stop,
 * in milliseconds. At the start no host knows its peers yet, so each one would take itself for
 * the first reader.
 */
const STARTUP_READ_PAUSE_MS = 1_000;

/** Number of entry hosts that retry often while the store is down; the others learn from them. */
const FAST_RETRY_HOSTS = 4;

/** Backoff of the hosts that retry often, short enough to notice the store's return soon. */
export const FAST_RETRY_BACKOFF: RetryBackoff = { minMs: 50, maxMs: 400 };

/** Backoff of all other entry hosts. */
const SLOW_RETRY_BACKOFF: RetryBackoff = { minMs: 400, maxMs: 2_000 };

/**
 * Shortest and longest time between two checks of whether to read, in milliseconds. Updates come
 * every 0.8 s, and the host waits for them. A host that becomes a reader because another one has
 * ended notices this within the longest time, well before any takeover.
 */
const MIN_RECHECK_MS = 100;
const MAX_RECHECK_MS = 500;

/** Time between probes by a host that can't reach the store while peers can, in milliseconds. */
const PROBE_INTERVAL_MS = 2_000;

/**
 * Minimum gain in freshness for which a confirmation is forwarded, in milliseconds: small
 * compared with the readers' waits.
 */
const MIN_AGE_GAIN_MS = 200;

/**
 * Additional time that a member waits for updates compared with a relay, in milliseconds: when
 * the readers end, relays take over, and the entry hosts don't all read at the same moment.
 */
const MEMBER_TAKEOVER_DELAY_MS = 400;

/** Position of an entry host in the order of readers. */
interface ReaderRank {
  /** Rank; 0 reads first. */
  readonly rank: number;
  /** Fraction of the other relays, or for a member of the other members, that rank before it. */
  readonly precedingFraction: number;
}

/** Dependencies of {@link FeedDistributor}. */
export interface FeedDistributorOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  readonly reports: HostReports;
  readonly follower: FeedFollower;
}

/**
 * Decides which entry hosts read, sends what was read to peers, and applies what peers have
 * read.
 *
 * The age of a forwarded confirmation can't be derived from its arrival: it may have waited in a
 * buffer, or this process may have been suspended. The sender therefore names the newest report
 * that it had received from the receiver, and the receiver counts the age from when it sent that
 * report.
 */
export class FeedDistributor {
  readonly #options: FeedDistributorOptions;

  /** Age of the state that was last sent to peers. */
  readonly #sentAge = new ConfirmedAge();

  /** Latest state that was sent to peers. */
  #sentPosition: StorePosition = { era: 0, revision: 0 };

  #lastUpdateAtMs = Number.NEGATIVE_INFINITY;

  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  #lastProbeAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - dependencies */
  constructor(options: FeedDistributorOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.FeedUpdate, (from, message) =>
      this.#handleUpdate(from, message),
    );
  }

  /** @returns what the follower does next */
  getReadPlan(): ReadPlan {
    const readerRank = this.#computeReaderRank();
    const nowMs = this.#options.clock.nowMs();
    const lastNewsAtMs = Math.max(this.#lastUpdateAtMs, this.#options.follower.firstReadAtMs);
    const remainingMs = lastNewsAtMs + this.#computeTakeoverDelayMs(readerRank) - nowMs;
    return {
      waitMs:
        remainingMs < 0
          ? this.#computeTakeoverWaitMs(nowMs)
          : this.#computeWaitMs(readerRank, nowMs),
      recheckAfterMs: Math.min(MAX_RECHECK_MS, Math.max(MIN_RECHECK_MS, remainingMs)),
    };
  }

  /** @returns backoff delays while the store doesn't answer */
  getRetryBackoff(): RetryBackoff {
    const { rank } = this.#computeRank(this.#options.reports.listHeard());
    return rank < FAST_RETRY_HOSTS ? FAST_RETRY_BACKOFF : SLOW_RETRY_BACKOFF;
  }

  /**
   * Sends what this entry host has read to its peers.
   *
   * @param update - the changes
   * @param context - when they were requested
   */
  sendUpdate(update: FeedUpdate, context: FeedContext): void {
    const { reports, clock } = this.#options;
    this.#lastReadAtMs = clock.nowMs();
    this.#recordSent(update, context);
    this.#sendTo(reports.listTargets(), update, context);
  }

  #sendTo(
    targets: readonly EntryHostIdentity[],
    { era, isComplete, isCondensed, fromRevision, toRevision, changes }: FeedUpdate,
    { askedAt, ageMs, wasAway }: FeedContext,
  ): void {
    const { peers, reports } = this.#options;
    const message = {
      type: PeerMessageType.FeedUpdate,
      era,
      isComplete,
      isCondensed,
      fromRevision,
      toRevision,
      changes,
      ageMs: ageMs + computeElapsedMs(askedAt, this.#readClock()),
      wasAway,
    } as const;
    targets.forEach(({ incarnation }) => {
      const heardSequence = reports.findHeardSequence(incarnation);
      peers.send(incarnation, { ...message, heardSequence });
    });
  }

  /**
   * Returns the wait of a read after a takeover. The first read returns at once, so that all
   * other hosts get an update.
   */
  #computeTakeoverWaitMs(nowMs: number): number | undefined {
    return nowMs - this.#lastReadAtMs > TAKEOVER_AFTER_MS ? PROBE_WAIT_MS : READER_WAITS_MS[0];
  }

  #computeWaitMs({ rank }: ReaderRank, nowMs: number): number | undefined {
    const { follower } = this.#options;
    if (follower.isInTouch) {
      const isSettled = nowMs - follower.firstReadAtMs >= STARTUP_READ_PAUSE_MS;
      return isSettled ? READER_WAITS_MS[rank] : undefined;
    }
    if (nowMs - this.#lastProbeAtMs < PROBE_INTERVAL_MS) return undefined;
    this.#lastProbeAtMs = nowMs;
    return READER_WAITS_MS[0];
  }

  /** Computes this host's position among the hosts that reach the store. */
  #computeReaderRank(): ReaderRank {
    const heard = this.#options.reports.listHeard();
    return this.#computeRank(heard.filter(({ isInTouch }) => isInTouch));
  }

  /**
   * Computes this host's position among peers. Relays go first because their updates reach the
   * most hosts; among relays and among members, IDs decide.
   */
  #computeRank(peers: readonly HostState[]): ReaderRank {
    const { reports } = this.#options;
    const { id } = reports.self.identity;
    const isRelay = (peer: HostState): boolean => reports.isPlannedRelay(peer.identity.id);
    const relays = peers.filter(isRelay);
    const sameRolePeers = reports.isRelay ? relays : peers.filter((peer) => !isRelay(peer));
    const precedingCount = sameRolePeers.filter(({ identity }) => identity.id < id).length;
    return {
      rank: reports.isRelay ? precedingCount : relays.length + precedingCount,
      precedingFraction: precedingCount / (sameRolePeers.length + 1),
    };
  }

  #computeTakeoverDelayMs({ precedingFraction }: ReaderRank): number {
    if (this.#options.reports.isRelay)
      return TAKEOVER_AFTER_MS + precedingFraction * RELAY_STAGGER_MS;
    return TAKEOVER_AFTER_MS + MEMBER_TAKEOVER_DELAY_MS + precedingFraction * MEMBER_STAGGER_MS;
  }

  #handleUpdate(from: EntryHostIdentity, message: FeedUpdateMessage): void {
    const { reports, follower, metrics } = this.#options;
    const askedAt = reports.findSentAt(message.heardSequence);
    // Without a report of this host that the sender received, the update's age is unbounded.
    if (!askedAt) return;
    const { ageMs, wasAway } = message;
    const context = { askedAt, ageMs, wasAway };
    const effect = follower.applyUpdate(message, context);
    metrics.count('feed_updates_total', { result: effect });
    if (effect === UpdateEffect.Gap || effect === UpdateEffect.Outdated) return;
    this.#lastUpdateAtMs = this.#options.clock.nowMs();
    this.#forward(from, message, context);
  }

  /**
   * Forwards an update if this host is a relay: updates from relays go to its members, and
   * updates from a member to all its peers. An update without news ends here, or relays would
   * send it to each other endlessly.
   */
  #forward(from: EntryHostIdentity, update: FeedUpdate, context: FeedContext): void {
    const { reports } = this.#options;
    const hasChanges = this.#hasChanges(update);
    if (!this.#recordSent(update, context)) return;
    const forwarded = hasChanges ? update : buildConfirmation(update);
    this.#sendTo(reports.listForwardTargets(from), forwarded, context);
  }

  #hasChanges(update: FeedUpdate): boolean {
    return comparePositions(getEndPosition(update), this.#sentPosition) > 0;
  }

  /**
   * @returns whether the update contains changes, or a confirmation much fresher than the last
   *   one sent
   */
  #recordSent(update: FeedUpdate, { askedAt, ageMs }: FeedContext): boolean {
    const hasChanges = this.#hasChanges(update);
    this.#sentPosition = pickLater(getEndPosition(update), this.#sentPosition);
    const nowAt = this.#readClock();
    const ageGainMs = this.#sentAge.computeAgeMs(nowAt) - ageMs - computeElapsedMs(askedAt, nowAt);
    if (ageGainMs < MIN_AGE_GAIN_MS) return hasChanges;
    this.#sentAge.confirm(askedAt, nowAt, ageMs);
    return true;
  }

  #readClock(): ClockReading {
    const { clock } = this.#options;
    return { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  }
}
