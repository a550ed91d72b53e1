/**
 * Selection of the backend server for a request.
 *
 * @module
 */
import { isAllowedRegion } from '../places/mod.js';
import type { AllowedRegions } from '../places/mod.js';
import { mayContinueStream } from '../streams/mod.js';
import type { SoftwareVersion, StreamOrigin } from '../streams/mod.js';
import type { RequestWork } from './request_work.js';
import type { ServerLoad } from './server_load.js';
import { REPORT_DELAY_MS } from './slot_share.js';

/** A backend server that may receive the request. */
export interface Candidate {
  readonly id: string;
  readonly load: ServerLoad;
  /** Region of the server, if known. */
  readonly region?: string | undefined;
  /** Software of the server; undefined if its entry names none. */
  readonly version?: SoftwareVersion | undefined;
}

/** Predicted cost of the request on one server. */
interface Prediction {
  readonly candidate: Candidate;
  /** Time for which the request is expected to hold a slot, in milliseconds. */
  readonly holdMs: number;
  /** Whether its first byte is expected within what is left of the target. */
  readonly isInTime: boolean;
}

/** Competition between entry hosts for the free slots. */
export interface SlotContention {
  /** Calls waiting for a slot on this entry host, and on the other ones by their last reports. */
  readonly ownWaitingCalls: number;
  readonly peerWaitingCalls: number;
  /** Time for which a request holds a slot, in milliseconds. */
  readonly holdMs: number;
  /** Whether a more urgent call waits at a peer. */
  readonly isPeerMoreUrgent?: boolean;
}

/** The request and the circumstances of the selection. */
export interface PickOptions {
  readonly work: RequestWork;
  /** Number of output tokens that the request is expected to produce. */
  readonly expectedTokens: number;
  readonly nowMs: number;
  /** Time left until the deadline of the call, in milliseconds. */
  readonly timeLeftMs: number;
  /** What is left of the target time to first event, in milliseconds; undefined if there is none. */
  readonly targetLeftMs?: number | undefined;
  /** IDs of servers that this request was already sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Regions that the request may be sent to. */
  readonly regions?: AllowedRegions;
  /** Where the stream began that the request continues; undefined if it continues none. */
  readonly origin?: StreamOrigin | undefined;
  /** @returns a random number in [0, 1) */
  readonly nextFraction: () => number;
  readonly contention: SlotContention;
  /**
   * Those of the candidates that had an open slot lately, if the caller knows them. Default: all.
   */
  readonly open?: readonly Candidate[] | undefined;
}

/**
 * Predictions within this factor of the best one count as ties: less than by how far engines of
 * different generations differ, and more than what a few further requests change.
 */
const TIE_FACTOR = 1.3;

/**
 * Part of the time left within which a first byte must be predicted to count as in time. A prediction
 * is a mean, and half of the answers come later.
 */
const IN_TIME_FRACTION = 0.8;

/**
 * Picks a server with a free slot among those with the shortest predicted time until the answer is
 * complete.
 * The time to the first byte alone isn't enough: engines with the same one may differ fivefold in
 * generation speed, and while most slots are taken, the time for which a request holds its slot
 * delays all others. In two runs at a load one third above the capacity of six engines, this
 * raised the served calls by 0.8 and 2.4 in 100.
 *
 * Servers whose first byte is expected to meet the target go first. A long prompt is thus read on a
 * fast engine: on a slow one it would be late, and the running streams would pause for longer.
 *
 * While calls wait both on this and on other entry hosts, all of them see the same slots become
 * free, so each takes only its own share of them.
 *
 * @param candidates - usable servers of the service
 * @param options - the request and the circumstances
 * @returns the chosen server; undefined if no server has a free slot for this entry host
 */
export function pickServer(
  candidates: readonly Candidate[],
  options: PickOptions,
): Candidate | undefined {
  const { contention, nowMs, open = candidates } = options;
  const free = open.filter(
    (candidate) => candidate.load.countOpenSlots(nowMs) > 0 && mayServe(candidate, options),
  );
  const allowed = contention.isPeerMoreUrgent
    ? free.filter(({ load }) => !load.pace.hasOwnTurn(nowMs))
    : free;
  if (allowed.length === 0) return undefined;
  const healthy = filterHealthy(candidates, allowed, options);
  const pool = filterDueRefreshes(
    filterByShare(filterByDeadline(healthy, options), options),
    nowMs,
  );
  if (pool.length === 0) return undefined;
  const inTime = pool.filter(({ isInTime }) => isInTime);
  const preferred = inTime.length > 0 ? inTime : pool;
  const maxHoldMs = Math.min(...preferred.map(({ holdMs }) => holdMs)) * TIE_FACTOR;
  return drawByRoom(
    preferred.filter(({ holdMs }) => holdMs <= maxHoldMs),
    options,
  );
}

/**
 * Draws a server by its number of free slots. Entry hosts see each other's requests one report
 * later; if all of them chose the server with the most room, they would fill it beyond its slots.
 */
function drawByRoom(
  pool: readonly Prediction[],
  { nowMs, nextFraction }: PickOptions,
): Candidate | undefined {
  const slotCounts = pool.map(({ candidate }) => candidate.load.countOpenSlots(nowMs));
  let left = nextFraction() * slotCounts.reduce((sum, count) => sum + count, 0);
  const index = slotCounts.findIndex((count) => {
    left -= count;
    return left < 0;
  });
  return pool.at(index)?.candidate;
}

/** The parts of {@link PickOptions} that restrict a request to some of the servers. */
export type ServerLimits = Pick<PickOptions, 'excluded' | 'origin' | 'regions'>;

/**
 * Decides whether a server may ever serve a request, whether or not it has a free slot.
 *
 * @param candidate - a usable server
 * @param limits - servers that the request may go to
 * @returns whether the request may be sent to it
 */
export function mayServe(
  { id, region, version }: Candidate,
  { excluded, origin, regions }: ServerLimits,
): boolean {
  return (
    !excluded.has(id) && isAllowedRegion(regions, region) && mayContinueStream(origin, version)
  );
}

/**
 * Leaves out failing servers. If every server that may serve the request is failing, keeps all that
 * have a free slot, since trying one can't make the outcome worse.
 */
function filterHealthy(
  candidates: readonly Candidate[],
  free: readonly Candidate[],
  options: PickOptions,
): readonly Candidate[] {
  const { nowMs } = options;
  const healthy = free.filter(({ load }) => !load.mustAvoid(nowMs));
  if (healthy.length > 0) return healthy;
  const isAnyHealthy = candidates.some(
    (candidate) => !candidate.load.mustAvoid(nowMs) && mayServe(candidate, options),
  );
  return isAnyHealthy ? [] : free;
}

/**
 * Leaves out servers that would not complete the answer before the deadline. An answer that is
 * cut off at its deadline has wasted its slot: in one measured overload, that took 9 in 100 slot
 * seconds, mostly on engines of half the usual speed, while other engines complete the same
 * requests in time.
 */
function filterByDeadline(
  healthy: readonly Candidate[],
  { work, expectedTokens, nowMs, timeLeftMs, targetLeftMs = Infinity }: PickOptions,
): readonly Prediction[] {
  return healthy
    .map((candidate) => {
      const firstByteMs = candidate.load.predictFirstByteMs(work, nowMs);
      const holdMs = candidate.load.predictHoldMs(work, expectedTokens, firstByteMs);
      return { candidate, holdMs, isInTime: firstByteMs <= targetLeftMs * IN_TIME_FRACTION };
    })
    .filter(({ candidate, holdMs }) => candidate.load.speed.isPlain || holdMs <= timeLeftMs);
}

/** Prefers limited servers that have not been asked for long, if there are any. */
function filterDueRefreshes(
  predictions: readonly Prediction[],
  nowMs: number,
): readonly Prediction[] {
  const due = predictions.filter(({ candidate: { load } }) => load.pace.isRefreshDue(nowMs));
  return due.length > 0 ? due : predictions;
}

function filterByShare(
  predictions: readonly Prediction[],
  { contention, nowMs, nextFraction }: PickOptions,
): readonly Prediction[] {
  const { ownWaitingCalls, peerWaitingCalls, holdMs } = contention;
  if (ownWaitingCalls === 0 || peerWaitingCalls === 0) return predictions;
  const conditions = {
    waitingFraction: ownWaitingCalls / (ownWaitingCalls + peerWaitingCalls),
    recomputeIntervalMs: Math.min(REPORT_DELAY_MS, holdMs),
    nowMs,
  };
  return predictions.filter(({ candidate: { load } }) => {
    // The pace already divides such a server among the entry hosts.
    if (load.pace.isPaced(nowMs)) return true;
    const { share, freeSlots } = load;
    return share.hasSlot({ ...conditions, freeSlots, randomFraction: nextFraction() });
  });
}
