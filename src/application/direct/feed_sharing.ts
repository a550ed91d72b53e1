/**
 * Few entry hosts read the store; they tell the others.
 *
 * @module
 */
import { computeElapsedMs, ConfirmedAge } from '../../domain/freshness/mod.js';
import type { Moment } from '../../domain/freshness/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, FeedUpdateMessage, Metrics, PeerNetwork } from '../../ports/mod.js';
import { PROBE_WAIT_MS } from './feed_follower.js';
import type {
  FeedContext,
  FeedFollower,
  FeedUpdate,
  ReadPlan,
  RetryPauses,
} from './feed_follower.js';
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
const TAKEOVER_AFTER_MS = 1_200;

/**
 * Time over which the relays, and after them the members, take over one after the other, in
 * milliseconds. Whoever is first tells the others within some milliseconds. Twenty hosts that
 * took over at once made 18 calls, and 18 more when the store cut them off.
 */
const RELAY_STAGGER_MS = 400;
const MEMBER_STAGGER_MS = 800;

/**
 * Time after the start in which an entry host that has read everything reads no more unless
 * nothing is heard, in milliseconds. At first each knows nobody and takes itself for the reader.
 */
const STARTUP_READ_PAUSE_MS = 1_000;

/** Entry hosts that ask a store that doesn't answer often; the others hear from them. */
const FAST_RETRY_HOSTS = 4;

/** Their pauses: the store's return must not be noticed late. */
export const LEADING_PAUSES: RetryPauses = { minMs: 50, maxMs: 400 };

/** Pauses of the others. */
const SLOW_RETRY_BACKOFF: RetryPauses = { minMs: 400, maxMs: 2_000 };

/**
 * Shortest and longest time between two looks at whether to read, in milliseconds. Word comes
 * every 0.8 s and is waited for; a host that has become a reader by another one's end notices
 * it after the longest one at the latest, well before anybody takes over.
 */
const MIN_RECHECK_MS = 100;
const MAX_RECHECK_MS = 500;

/** Time between two tries of an entry host that can't reach the store itself while peers can, in milliseconds. */
const PROBE_INTERVAL_MS = 2_000;

/** How much fresher a confirmation must be to be passed on, in milliseconds: small beside the readers' waits. */
const MIN_AGE_GAIN_MS = 200;

/**
 * How much longer than a relay a member waits for word from a reader, in milliseconds:
 * when the readers go, relays read, and not all entry hosts at the same moment.
 */
const MEMBER_TAKEOVER_DELAY_MS = 400;

/** Where an entry host stands among those that may read. */
interface ReaderRank {
  /** 0: it reads first. */
  readonly rank: number;
  /** Part of its fellow relays, or fellow members, that go before it. */
  readonly precedingFraction: number;
}

/** What the sharing needs. */
export interface FeedSharingOptions {
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

  /** Age of what was told to others last. */
  readonly #sentAge = new ConfirmedAge();

  /** Newest revision that was told to others. */
  #sentRevision = 0;

  #lastUpdateAtMs = Number.NEGATIVE_INFINITY;

  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  #lastProbeAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - what the sharing needs */
  constructor(options: FeedSharingOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.FeedUpdate, (from, message) =>
      this.#handleUpdate(from, message),
    );
  }

  /** @returns what the follower is to do next */
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
      lookAfterMs: Math.min(MAX_RECHECK_MS, Math.max(MIN_RECHECK_MS, remainingMs)),
    };
  }

  /** @returns pauses between two tries while the store doesn't answer */
  getRetryPauses(): RetryPauses {
    const { rank } = this.#computeRank(this.#options.reports.listHeard());
    return rank < FAST_RETRY_HOSTS ? LEADING_PAUSES : SLOW_RETRY_BACKOFF;
  }

  /**
   * Passes on what this entry host has read.
   *
   * @param update - the changes
   * @param context - when they were asked for
   */
  sendUpdate(update: FeedUpdate, context: FeedContext): void {
    const { reports, clock } = this.#options;
    this.#lastReadAtMs = clock.nowMs();
    this.#recordSent(update, context);
    this.#sendTo(reports.listTargets(), update, context);
  }

  #sendTo(
    targets: readonly EntryHostIdentity[],
    { fromRevision, toRevision, changes }: FeedUpdate,
    { askedAt, ageMs, wasAway }: FeedContext,
  ): void {
    const { peers, reports } = this.#options;
    const message = {
      type: PeerMessageType.FeedUpdate,
      fromRevision,
      toRevision,
      changes,
      ageMs: ageMs + computeElapsedMs(askedAt, this.#readMoment()),
      wasAway,
    } as const;
    targets.forEach(({ incarnation }) => {
      const heardSequence = reports.findHeardSequence(incarnation);
      peers.send(incarnation, { ...message, heardSequence });
    });
  }

  /** The first read answers at once, so that all others hear. */
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

  /** Its place among those that reach the store. */
  #computeReaderRank(): ReaderRank {
    const heard = this.#options.reports.listHeard();
    return this.#computeRank(heard.filter(({ isInTouch }) => isInTouch));
  }

  /** Relays go first: their word goes furthest. Among relays, and among members, names decide. */
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
    // Without a report of ours that the sender has seen, nothing bounds the update's age.
    if (!askedAt) return;
    const { ageMs, wasAway } = message;
    const context = { askedAt, ageMs, wasAway };
    const isApplied = follower.applyUpdate(message, context);
    metrics.count('feed_updates_total', { result: isApplied ? 'applied' : 'gap' });
    if (!isApplied) return;
    this.#lastUpdateAtMs = this.#options.clock.nowMs();
    this.#forward(from, message, context);
  }

  /**
   * A relay tells its members what it hears from relays, and everybody what it hears
   * from a member. What brings nothing new ends here, or relays would tell each other
   * the same again and again.
   */
  #forward(from: EntryHostIdentity, update: FeedUpdate, context: FeedContext): void {
    const { reports } = this.#options;
    if (this.#recordSent(update, context)) {
      this.#sendTo(reports.listFurther(from), update, context);
    }
  }

  /** @returns whether it brings changes, or a confirmation much fresher than the last that was told */
  #recordSent({ toRevision }: FeedUpdate, { askedAt, ageMs }: FeedContext): boolean {
    const hasChanges = toRevision > this.#sentRevision;
    this.#sentRevision = Math.max(this.#sentRevision, toRevision);
    const nowAt = this.#readMoment();
    const ageGainMs = this.#sentAge.computeAgeMs(nowAt) - ageMs - computeElapsedMs(askedAt, nowAt);
    if (ageGainMs < MIN_AGE_GAIN_MS) return hasChanges;
    this.#sentAge.confirm(askedAt, nowAt, ageMs);
    return true;
  }

  #readMoment(): Moment {
    const { clock } = this.#options;
    return { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  }
}
