/**
 * Queues calls whose content is on probation: one is sent as a trial, the others wait for its
 * result.
 *
 * @module
 */
import { computeNextStepAtMs, computeTurnAtMs } from '../../domain/crashes/mod.js';
import type { CrashLedger, CrashNote, TrialProgress } from '../../domain/crashes/mod.js';
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

/** A content on probation that callers request at this entry host. */
interface RequestedContent {
  readonly requestedSinceMs: number;
  /** Callbacks that let the waiting calls ask for a permit again. */
  readonly waiting: Set<() => void>;
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
   * @param contentId - content of the call
   * @returns time until the next trial or state change, in milliseconds, where that is too long to
   *   wait; undefined when calls may wait or the content is not on probation
   */
  computeRetryAfterMs(contentId: string): number | undefined {
    const progress = this.#options.ledger.probationList.findProgress(contentId);
    return progress && this.#computeRetryAfterMs(progress);
  }

  /**
   * Acquires a permit to send a request now. A permit for a content on probation starts a trial.
   *
   * @param contentId - content of the request
   * @param hasTime - whether the caller's deadline leaves enough time for a trial
   * @returns the permit, which tells whether and how the request may be sent
   */
  acquirePermit(contentId: string, hasTime: boolean): Permit {
    const { ledger, clock, log, metrics } = this.#options;
    const progress = ledger.probationList.findProgress(contentId);
    if (!progress) return FREE_PERMIT;
    if (!hasTime) return WAIT_PERMIT;
    const nowMs = clock.nowMs();
    if (this.#isTrialOpen() || nowMs < this.#computeTurnAtMs(contentId, progress))
      return WAIT_PERMIT;
    const id = this.#options.random.nextHex(TRIAL_ID_BYTES);
    log.write(LogLevel.Warn, 'request_tried', { contentId, trial: progress.trialCount + 1 });
    metrics.count('request_trials_total');
    const trial = { id, startedAtMs: nowMs, isVoid: false };
    this.#options.notifyPeers(ledger.recordTrial(contentId, trial, nowMs));
    return {
      kind: PermitKind.Trial,
      returnUnused: () => {
        const voidTrial = { ...trial, isVoid: true };
        this.#options.notifyPeers(ledger.recordTrial(contentId, voidTrial, clock.nowMs()));
      },
    };
  }

  /**
   * Adds a call without a permit to the waiting calls.
   *
   * @param contentId - content of the call
   * @param resume - called once, when the call may ask for a permit again
   * @returns function that removes the call from the waiting calls
   */
  wait(contentId: string, resume: () => void): () => void {
    const { waiting } = this.#getOrCreateRequested(contentId);
    waiting.add(resume);
    this.#scheduleCheck();
    return () => waiting.delete(resume);
  }

  /** Wakes all calls whose content left probation, and one call of each content due for a trial. */
  wakeCalls(): void {
    const isOpen = this.#isTrialOpen();
    [...this.#requestedContents].forEach(([contentId, requested]) => {
      const progress = this.#options.ledger.probationList.findProgress(contentId);
      if (progress && this.#computeRetryAfterMs(progress) === undefined) {
        const isDue = this.#options.clock.nowMs() >= this.#computeTurnAtMs(contentId, progress);
        if (isDue && !isOpen) wakeLatest(requested.waiting, 1);
        return;
      }
      if (progress) this.#options.refuseCalls(contentId);
      this.#requestedContents.delete(contentId);
      wakeLatest(requested.waiting, Infinity);
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

/** Wakes the calls that came last, because they have the most time left for an answer. */
function wakeLatest(waiting: Set<() => void>, count: number): void {
  const woken = [...waiting].reverse().slice(0, count);
  woken.forEach((resume) => {
    if (waiting.delete(resume)) resume();
  });
}
