/**
 * Calls whose content is in doubt: one is sent as a trial, the others wait for what it shows.
 *
 * @module
 */
import { computeNextStepMs, computeTurnMs } from '../../domain/crashes/mod.js';
import type { CrashLedger, CrashNote, Doubt } from '../../domain/crashes/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { sortByRendezvous } from '../../domain/membership/mod.js';
import type { Clock, EventLog, Metrics, RandomSource, Timer } from '../../ports/mod.js';
import type { CrashPaths } from './crash_paths.js';

/** Time between two looks at what waits, in milliseconds. */
const LOOK_INTERVAL_MS = 50;

/**
 * Longest time that calls wait for the next trial, and for what the last one shows, in
 * milliseconds. Whoever would wait longer hears when to come back.
 */
const PATIENCE_MS = 2_000;

/** Pause between the turns of two contents that are in doubt at the same time, in milliseconds. */
const PLACE_STEP_MS = 100;

/** Place from which on all have the same turn: hundreds in doubt must not keep one from it for good. */
const MAX_PLACE = 10;

const TRIAL_ID_BYTES = 6;

/** What a request may do. */
export enum PassKind {
  Free = 'free',
  /** It is the one request of its content that is sent now, to see what becomes of it. */
  Trial = 'trial',
  /** It may not be sent yet. */
  Wait = 'wait',
}

/** Leave to send a request. */
export interface Pass {
  readonly kind: PassKind;
  /** Gives the leave back: the request never ran. */
  readonly handBack: () => void;
}

const FREE: Pass = { kind: PassKind.Free, handBack: () => undefined };
const WAIT: Pass = { kind: PassKind.Wait, handBack: () => undefined };

/** What the queue needs. */
export interface TrialQueueOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly paths: CrashPaths;
  readonly ledger: CrashLedger;
  /** Judges anew what time has decided. */
  readonly review: () => void;
  /** Tells peers what has happened here. */
  readonly notify: (notes: readonly CrashNote[]) => void;
  /** Has the calls of a content refused that would wait for too long. */
  readonly refuse: (contentId: string) => void;
}

/** A content that is asked for here while it is in doubt. */
interface Asked {
  readonly sinceMs: number;
  /** Calls that wait, by what has them try again. */
  readonly waiting: Set<() => void>;
  /** Place of this entry host in line, worked out once for each trial. */
  rank: { readonly trialCount: number; readonly value: number } | undefined;
}

/** Decides which call may be a trial, and wakes the others. */
export class TrialQueue {
  readonly #options: TrialQueueOptions;

  readonly #asked = new Map<string, Asked>();

  #timer: Timer | undefined;

  /** Since when no trial is open. */
  #quietSinceMs = Number.NEGATIVE_INFINITY;

  #wasOpen = false;

  /** @param options - what the queue needs */
  constructor(options: TrialQueueOptions) {
    this.#options = options;
  }

  /**
   * @param contentId - a content
   * @returns how long the next trial, or the decision, is away, in milliseconds, where that is too
   *   long to wait
   */
  findDelayMs(contentId: string): number | undefined {
    const doubt = this.#options.ledger.doubts.find(contentId);
    return doubt && this.#computeDelayMs(doubt);
  }

  /**
   * Asks for leave to send a request right now. Where its content is in doubt, that is a trial, and
   * the leave is used up.
   *
   * @param contentId - its content
   * @param hasTime - whether its caller waits long enough for a trial to show something
   * @returns whether it may be sent, and as what
   */
  takePass(contentId: string, hasTime: boolean): Pass {
    const { ledger, clock, log, metrics } = this.#options;
    const doubt = ledger.doubts.find(contentId);
    if (!doubt) return FREE;
    if (!hasTime) return WAIT;
    const nowMs = clock.nowMs();
    if (this.#isTrialOpen() || nowMs < this.#computeTurnMs(contentId, doubt)) return WAIT;
    const id = this.#options.random.nextHex(TRIAL_ID_BYTES);
    log.write(LogLevel.Warn, 'request_tried', { contentId, trial: doubt.trialCount + 1 });
    metrics.count('request_trials_total');
    const trial = { id, startedAtMs: nowMs, isVoid: false };
    this.#options.notify(ledger.noteTrial(contentId, trial, nowMs));
    return {
      kind: PassKind.Trial,
      handBack: () => {
        const voided = { ...trial, isVoid: true };
        this.#options.notify(ledger.noteTrial(contentId, voided, clock.nowMs()));
      },
    };
  }

  /**
   * Has a call wait that got no leave.
   *
   * @param contentId - its content
   * @param resume - called once, when it may ask again
   * @returns ends the wait
   */
  wait(contentId: string, resume: () => void): () => void {
    const { waiting } = this.#takeAsked(contentId);
    waiting.add(resume);
    this.#schedule();
    return () => waiting.delete(resume);
  }

  /** Wakes calls whose content is in doubt no more, and one of those that may be tried. */
  update(): void {
    const isOpen = this.#isTrialOpen();
    [...this.#asked].forEach(([contentId, asked]) => {
      const doubt = this.#options.ledger.doubts.find(contentId);
      if (doubt && this.#computeDelayMs(doubt) === undefined) {
        const isDue = this.#options.clock.nowMs() >= this.#computeTurnMs(contentId, doubt);
        if (isDue && !isOpen) notifyWaiting(asked.waiting, 1);
        return;
      }
      if (doubt) this.#options.refuse(contentId);
      this.#asked.delete(contentId);
      notifyWaiting(asked.waiting, Infinity);
    });
  }

  /** Wakes nobody any more. */
  stop(): void {
    this.#timer?.cancel();
    this.#asked.clear();
  }

  #computeDelayMs(doubt: Doubt): number | undefined {
    const nowMs = this.#options.clock.nowMs();
    const delayMs = computeNextStepMs(doubt) - nowMs;
    const isOpen = nowMs - (doubt.lastTrialAtMs ?? -Infinity) < PATIENCE_MS;
    return delayMs <= PATIENCE_MS || isOpen ? undefined : delayMs;
  }

  #takeAsked(contentId: string): Asked {
    const known = this.#asked.get(contentId);
    if (known) return known;
    const sinceMs = this.#options.clock.nowMs();
    const asked: Asked = { sinceMs, waiting: new Set(), rank: undefined };
    this.#asked.set(contentId, asked);
    return asked;
  }

  #computeTurnMs(contentId: string, doubt: Doubt): number {
    const asked = this.#takeAsked(contentId);
    const { trialCount } = doubt;
    if (asked.rank?.trialCount !== trialCount) {
      asked.rank = { trialCount, value: this.#computeRank(contentId, trialCount) };
    }
    const place = Math.min(MAX_PLACE, this.#options.ledger.doubts.findPlace(contentId));
    const fromMs = Math.max(asked.sinceMs, this.#quietSinceMs) + place * PLACE_STEP_MS;
    return computeTurnMs(doubt, fromMs, asked.rank.value);
  }

  /** Two trials at the same server would show nothing. */
  #isTrialOpen(): boolean {
    const nowMs = this.#options.clock.nowMs();
    const isOpen = this.#options.ledger.doubts.findOpen(nowMs) !== undefined;
    if (this.#wasOpen && !isOpen) this.#quietSinceMs = nowMs;
    this.#wasOpen = isOpen;
    return isOpen;
  }

  #computeRank(contentId: string, trialCount: number): number {
    const { paths } = this.#options;
    const ids = [...new Set([...paths.listHostIds(), paths.selfId])];
    return sortByRendezvous(`${contentId} ${trialCount}`, ids).indexOf(paths.selfId);
  }

  #schedule(): void {
    if (this.#timer) return;
    this.#timer = this.#options.clock.setTimer(LOOK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.#options.review();
      this.update();
      if (this.#asked.size > 0) this.#schedule();
    });
  }
}

/** Has those that came last ask again: they have the most time left for an answer. */
function notifyWaiting(waiting: Set<() => void>, count: number): void {
  const woken = [...waiting].reverse().slice(0, count);
  woken.forEach((resume) => {
    if (waiting.delete(resume)) resume();
  });
}
