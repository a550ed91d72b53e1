/**
 * Queues calls whose content is on probation: one is sent as a trial, the others wait for its
 * result.
 *
 * @module
 */
import { computeNextStepAtMs, computeTurnAtMs } from '../../domain/crashes/mod.js';
import type {
  CrashLedger,
  CrashNote,
  RequestScope,
  Trial,
  TrialProgress,
} from '../../domain/crashes/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { sortByRendezvous } from '../../domain/membership/mod.js';
import type { Clock, EventLog, Metrics, RandomSource, Timer } from '../../ports/mod.js';
import type { CrashPaths } from './crash_paths.js';

/** Interval between checks of the waiting calls, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/**
 * Longest time that calls wait for the next trial, or for the result of the last one, in
 * milliseconds. Calls that would wait longer are refused with a retry-after time.
 */
const MAX_WAIT_MS = 2_000;

/** Time between the turns of two contents on probation at the same time, in milliseconds. */
const TURN_STEP_MS = 100;

/**
 * Positions beyond this one delay a turn no further, so that hundreds of contents on probation
 * can't keep one of them from its turn for good.
 */
const MAX_DELAYED_POSITION = 10;

const TRIAL_ID_BYTES = 6;

/** How a request may be sent. */
export enum PermitKind {
  Free = 'free',
  /** The request is sent as a trial, the only one of its content at this time. */
  Trial = 'trial',
  /** The request may not be sent yet. */
  Wait = 'wait',
}

/** Permit to send a request. */
export interface Permit {
  readonly kind: PermitKind;
  /** The trial, if it is one. */
  readonly trial?: Trial;
  /** Returns an unused permit when the request never ran; the trial is then void. */
  readonly returnUnused: () => void;
}

const FREE_PERMIT: Permit = { kind: PermitKind.Free, returnUnused: () => undefined };
const WAIT_PERMIT: Permit = { kind: PermitKind.Wait, returnUnused: () => undefined };

/** Options of {@link TrialQueue}. */
export interface TrialQueueOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly paths: CrashPaths;
  readonly ledger: CrashLedger;
  /** Applies state changes of contents that have become due. */
  readonly review: () => void;
  /** Sends notes of what happened at this entry host to its peers. */
  readonly notifyPeers: (notes: readonly CrashNote[]) => void;
  /** Refuses the waiting calls of a content whose next step is too far away. */
  readonly refuseCalls: (contentId: string) => void;
}

/** A call without a permit. */
interface WaitingCall {
  readonly request: RequestScope;
  /** Number of its causes that were on probation when it began to wait. */
  readonly probationCount: number;
  /** Lets it ask for a permit again, and ends its wait. */
  resume: () => void;
}

/** A cause on probation, and the progress of its trials. */
interface ProbationCause {
  readonly id: string;
  readonly progress: TrialProgress;
}

/** A content or part on probation that callers request at this entry host. */
interface RequestedContent {
  readonly requestedSinceMs: number;
  readonly waiting: Set<WaitingCall>;
  /** Rank of this entry host among those that may run a trial, computed once for each trial. */
  rank: { readonly trialCount: number; readonly value: number } | undefined;
}

/** Decides which call runs as a trial, and wakes the waiting calls. */
export class TrialQueue {
  readonly #options: TrialQueueOptions;

  readonly #requestedContents = new Map<string, RequestedContent>();

  #timer: Timer | undefined;

  /** When the last open trial was found to have ended. */
  #noTrialSinceMs = Number.NEGATIVE_INFINITY;

  #wasTrialOpen = false;

  /** @param options - dependencies and callbacks */
  constructor(options: TrialQueueOptions) {
    this.#options = options;
  }

  /**
   * Computes the delay after which a caller that can't wait may retry.
   *
   * @param request - the call's causes and its account
   * @returns time until the next trial or state change, in milliseconds, where that is too long to
   *   wait; undefined when calls may wait or none of the causes is on probation
   */
  computeRetryAfterMs(request: RequestScope): number | undefined {
    const delaysMs = this.#listOnProbation(request).flatMap(
      ({ progress }) => this.#computeRetryAfterMs(progress) ?? [],
    );
    return delaysMs.length === 0 ? undefined : Math.max(...delaysMs);
  }

  /**
   * Acquires a permit to send a request now. A permit for a request with a cause on probation starts
   * a trial, which counts for each of them: they are told apart by what else runs with them.
   *
   * @param request - its causes and its account
   * @param hasTime - whether the caller's deadline leaves enough time for a trial
   * @returns the permit, which tells whether and how the request may be sent
   */
  acquirePermit(request: RequestScope, hasTime: boolean): Permit {
    const tried = this.#listOnProbation(request);
    if (tried.length === 0) return FREE_PERMIT;
    if (!hasTime || this.#isTrialOpen()) return WAIT_PERMIT;
    const nowMs = this.#options.clock.nowMs();
    const isDue = tried.every(({ id, progress }) => nowMs >= this.#computeTurnAtMs(id, progress));
    return isDue ? this.#startTrial(tried, nowMs) : WAIT_PERMIT;
  }

  #startTrial(tried: readonly ProbationCause[], startedAtMs: number): Permit {
    const { log, metrics, random, clock } = this.#options;
    const trial = { id: random.nextHex(TRIAL_ID_BYTES), startedAtMs, isVoid: false };
    tried.forEach(({ id, progress }) => {
      log.write(LogLevel.Warn, 'request_tried', { contentId: id, trial: progress.trialCount + 1 });
    });
    metrics.count('request_trials_total');
    this.#recordTrial(tried, trial, startedAtMs);
    return {
      kind: PermitKind.Trial,
      trial,
      returnUnused: () => this.#recordTrial(tried, { ...trial, isVoid: true }, clock.nowMs()),
    };
  }

  #recordTrial(tried: readonly ProbationCause[], trial: Trial, nowMs: number): void {
    const { ledger, notifyPeers } = this.#options;
    notifyPeers(tried.flatMap(({ id }) => ledger.recordTrial(id, trial, nowMs)));
  }

  /**
   * Adds a call without a permit to the waiting calls.
   *
   * @param request - the call's causes and its account
   * @param resume - called once, when the call may ask for a permit again
   * @returns function that removes the call from the waiting calls
   */
  wait(request: RequestScope, resume: () => void): () => void {
    const sets = this.#listOnProbation(request).map(({ id }) => this.#getOrCreateRequested(id));
    const call: WaitingCall = { request, probationCount: sets.length, resume: () => undefined };
    const leave = (): void => sets.forEach(({ waiting }) => waiting.delete(call));
    call.resume = () => {
      leave();
      resume();
    };
    sets.forEach(({ waiting }) => waiting.add(call));
    this.#scheduleCheck();
    return leave;
  }

  #listOnProbation(request: RequestScope): ProbationCause[] {
    return request.causeIds.flatMap((id) => {
      const progress = this.#options.ledger.probationList.findProgress(id, request);
      return progress ? { id, progress } : [];
    });
  }

  /** Wakes all calls whose content left probation, and one call of each content due for a trial. */
  wakeCalls(): void {
    const isOpen = this.#isTrialOpen();
    [...this.#requestedContents].forEach(([contentId, requested]) => {
      const [first] = requested.waiting;
      const progress = this.#options.ledger.probationList.findProgress(contentId, first?.request);
      if (progress && this.#computeRetryAfterMs(progress) === undefined) {
        const isDue = this.#options.clock.nowMs() >= this.#computeTurnAtMs(contentId, progress);
        if (isDue && !isOpen) wakeBest(requested.waiting);
        return;
      }
      if (progress) this.#options.refuseCalls(contentId);
      this.#requestedContents.delete(contentId);
      [...requested.waiting].reverse().forEach(({ resume }) => resume());
    });
  }

  /** Stops waking calls and forgets those that wait. */
  stop(): void {
    this.#timer?.cancel();
    this.#requestedContents.clear();
  }

  #computeRetryAfterMs(progress: TrialProgress): number | undefined {
    const nowMs = this.#options.clock.nowMs();
    const delayMs = computeNextStepAtMs(progress) - nowMs;
    const isOpen = nowMs - (progress.lastTrialAtMs ?? -Infinity) < MAX_WAIT_MS;
    return delayMs <= MAX_WAIT_MS || isOpen ? undefined : delayMs;
  }

  #getOrCreateRequested(contentId: string): RequestedContent {
    const known = this.#requestedContents.get(contentId);
    if (known) return known;
    const sinceMs = this.#options.clock.nowMs();
    const created: RequestedContent = {
      requestedSinceMs: sinceMs,
      waiting: new Set(),
      rank: undefined,
    };
    this.#requestedContents.set(contentId, created);
    return created;
  }

  #computeTurnAtMs(contentId: string, progress: TrialProgress): number {
    const requested = this.#getOrCreateRequested(contentId);
    const { trialCount } = progress;
    if (requested.rank?.trialCount !== trialCount) {
      requested.rank = { trialCount, value: this.#computeRank(contentId, trialCount) };
    }
    const position = Math.min(
      MAX_DELAYED_POSITION,
      this.#options.ledger.probationList.findTrialPosition(contentId),
    );
    const fromMs =
      Math.max(requested.requestedSinceMs, this.#noTrialSinceMs) + position * TURN_STEP_MS;
    return computeTurnAtMs(progress, fromMs, requested.rank.value);
  }

  /** Checks for an open trial; two trials at the same server at once would prove nothing. */
  #isTrialOpen(): boolean {
    const nowMs = this.#options.clock.nowMs();
    const isOpen = this.#options.ledger.probationList.findOpenTrial(nowMs) !== undefined;
    if (this.#wasTrialOpen && !isOpen) this.#noTrialSinceMs = nowMs;
    this.#wasTrialOpen = isOpen;
    return isOpen;
  }

  #computeRank(contentId: string, trialCount: number): number {
    const { paths } = this.#options;
    const ids = [...new Set([...paths.listHostIds(), paths.selfId])];
    return sortByRendezvous(`${contentId} ${trialCount}`, ids).indexOf(paths.selfId);
  }

  #scheduleCheck(): void {
    if (this.#timer) return;
    this.#timer = this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.#options.review();
      this.wakeCalls();
      if (this.#requestedContents.size > 0) this.#scheduleCheck();
    });
  }
}

/**
 * Wakes the call that tells most: the one with the fewest causes on probation, since its result is
 * laid to few; of these the one that came last, since it has the most time left for an answer.
 */
function wakeBest(waiting: ReadonlySet<WaitingCall>): void {
  const calls = [...waiting].reverse();
  const fewest = Math.min(...calls.map(({ probationCount }) => probationCount));
  calls.find(({ probationCount }) => probationCount === fewest)?.resume();
}
