/**
 * One content that was running when backend servers ended.
 *
 * @module
 */
import { CrashState } from './crash_note.js';

/**
 * Most crashes that are kept for one content. Three of its own decide; the others are room for
 * those that it shares with other contents, and for those that were cleared.
 */
const MAX_CRASHES = 8;

/** Crashes after which a content is in doubt: they are kept before later ones. */
export const CRASHES_TO_DOUBT = 3;

/** Most trials that are kept for one content; what is older than its crashes counts no more. */
const MAX_TRIALS_KEPT = 8;

/**
 * How long others aren't told that a content is still asked for, in milliseconds: a small part
 * of the time for which they remember it.
 */
const SEEN_AGAIN_MS = 60_000;

/** One run, on this process's monotonic clock. */
export interface SuspectRun {
  readonly crashId: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  state: CrashState;
  /** Whether its content was answered within a minute before. */
  isVouched: boolean;
}

/** What may be sent of a content. */
export enum SuspectState {
  /** Everything. */
  Free = 'free',
  /** Single requests, as trials. */
  Doubted = 'doubted',
  /** Nothing. */
  Held = 'held',
}

/** One trial, on this process's monotonic clock. */
export interface Trial {
  readonly id: string;
  readonly startedAtMs: number;
  /** Whether it never ran at a server. */
  readonly isVoid: boolean;
}

/** Its runs, by crash. */
export class Suspect {
  readonly runs = new Map<string, SuspectRun>();

  #seenAtMs = Number.NEGATIVE_INFINITY;

  /** When others were told last that it is still asked for. */
  #toldAtMs = Number.NEGATIVE_INFINITY;

  #state = SuspectState.Free;

  #doubtedAtMs = Number.NEGATIVE_INFINITY;

  readonly #trials = new Map<string, Trial>();

  /** @param contentId - names the content */
  constructor(readonly contentId: string) {}

  /** What may be sent of it. */
  get state(): SuspectState {
    return this.#state;
  }

  /** Whether it must not be sent to any server. */
  get isHeld(): boolean {
    return this.#state === SuspectState.Held;
  }

  /** When it came to be in doubt. */
  get doubtedAtMs(): number {
    return this.#doubtedAtMs;
  }

  /** @param state - what may be sent of it from now on. @param nowMs - monotonic time in milliseconds */
  setState(state: SuspectState, nowMs: number): void {
    if (state === SuspectState.Doubted) this.#doubtedAtMs = nowMs;
    this.#state = state;
  }

  /** Whether any trial is kept. */
  get hasTrials(): boolean {
    return this.#trials.size > 0;
  }

  /** All trials that are kept, in the order in which they began. */
  get trials(): readonly Trial[] {
    return [...this.#trials.values()].sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  /** @param trial - a trial that has begun, or never ran. @returns whether it is news */
  addTrial(trial: Trial): boolean {
    const known = this.#trials.get(trial.id);
    if (known && (known.isVoid || !trial.isVoid)) return false;
    this.#trials.set(trial.id, { ...trial, startedAtMs: known?.startedAtMs ?? trial.startedAtMs });
    if (this.#trials.size > MAX_TRIALS_KEPT) {
      const { trials } = this;
      const dropped = trials.find(({ isVoid }) => isVoid) ?? trials[0];
      if (dropped) this.#trials.delete(dropped.id);
    }
    return true;
  }

  /** Crashes that speak against it. */
  get suspectedCount(): number {
    let count = 0;
    this.runs.forEach(({ state }) => {
      if (state === CrashState.Suspected) count += 1;
    });
    return count;
  }

  /** When it ran or was asked for last. */
  get seenAtMs(): number {
    return this.#seenAtMs;
  }

  /**
   * @param atMs - when it ran or was asked for
   * @returns whether that is so much later than others know that they should hear it
   */
  noteSeen(atMs: number): boolean {
    this.#seenAtMs = Math.max(this.#seenAtMs, atMs);
    if (this.#seenAtMs - this.#toldAtMs < SEEN_AGAIN_MS) return false;
    this.#toldAtMs = this.#seenAtMs;
    return true;
  }

  /**
   * Takes a run in.
   *
   * @param run - the run
   * @returns whether it is news
   */
  apply(run: SuspectRun): boolean {
    const known = this.runs.get(run.crashId);
    if (known) return mergeRun(known, run);
    if (this.runs.size >= MAX_CRASHES) return false;
    this.runs.set(run.crashId, run);
    return true;
  }

  /**
   * Makes room for one more run: a cleared one goes first, then the oldest of those after the
   * first three. Those three tell since when trials count; what came last tells contents apart
   * that were running beside each other at first.
   *
   * @param endedAtMs - when the new run ended
   * @returns the crash whose run was dropped; undefined where none had to be, or the new one is
   *   older than those that may go
   */
  dropForRoom(endedAtMs: number): string | undefined {
    if (this.runs.size < MAX_CRASHES) return undefined;
    const runs = [...this.runs.values()].sort((a, b) => a.endedAtMs - b.endedAtMs);
    const oldest = runs.slice(CRASHES_TO_DOUBT).find((run) => run.endedAtMs < endedAtMs);
    const dropped = runs.find(({ state }) => state === CrashState.Cleared) ?? oldest;
    if (dropped) this.runs.delete(dropped.crashId);
    return dropped?.crashId;
  }

  /** @param crashId - a crash that it has not caused. @returns the run there, unless that is known */
  clear(crashId: string): SuspectRun | undefined {
    const run = this.runs.get(crashId);
    if (run?.state !== CrashState.Suspected) return undefined;
    run.state = CrashState.Cleared;
    return run;
  }

  /** @returns runs that still speak against it, in the order in which they ended */
  listSuspected(): SuspectRun[] {
    return [...this.runs.values()]
      .filter(({ state }) => state === CrashState.Suspected)
      .sort((a, b) => a.endedAtMs - b.endedAtMs);
  }

  /** @param crashId - a crash. @returns whether it may have caused it, and was not answered shortly before */
  isSuspectedOf(crashId: string): boolean {
    const run = this.runs.get(crashId);
    return run?.state === CrashState.Suspected && !run.isVouched;
  }
}

/** @returns whether the second knows better than the first, which takes that in */
function mergeRun(known: SuspectRun, run: SuspectRun): boolean {
  const isCleared = known.state !== CrashState.Cleared && run.state === CrashState.Cleared;
  const isVouched = !known.isVouched && run.isVouched;
  if (isCleared) Object.assign(known, { state: CrashState.Cleared });
  if (isVouched) Object.assign(known, { isVouched });
  return isCleared || isVouched;
}

/**
 * Counts how many runs came one after the other. Servers that end together, as those of one
 * rack, end many runs of a popular content at the same moment; that is one accident, and a
 * request that ends its servers does so again after it was sent anew. Times of other entry hosts
 * are late by what their word took to come, so the greater part of a run decides.
 *
 * @param runs - in the order in which they ended
 * @returns length of the longest series in which each ran after the one before had ended
 */
export function countInTurn(runs: readonly SuspectRun[]): number {
  let count = 0;
  let lastEndMs = Number.NEGATIVE_INFINITY;
  runs.forEach(({ startedAtMs, endedAtMs }) => {
    const middleMs = (startedAtMs + endedAtMs) / 2;
    if (middleMs < lastEndMs || endedAtMs <= lastEndMs) return;
    count += 1;
    lastEndMs = endedAtMs;
  });
  return count;
}
