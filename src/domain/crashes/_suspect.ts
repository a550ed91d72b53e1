/**
 * State of one request content that was running when backend servers crashed.
 *
 * @module
 */
import { CrashState } from './crash_note.js';
import { mergeRun } from './_suspect_run.js';
import type { SuspectRun } from './_suspect_run.js';

export type { SuspectRun } from './_suspect_run.js';

/**
 * Maximum number of crashes kept per content. Three crashes with no other likely cause are enough
 * for a quarantine; the rest leaves room for crashes shared with other contents, and for cleared
 * ones.
 */
const MAX_CRASHES_KEPT = 8;

/**
 * Number of crashes that puts a content on probation. The first ones are kept in preference to
 * later ones.
 */
export const MIN_CRASHES_FOR_PROBATION = 3;

/** Number of crashes that does so although the content was answered until then. */
const MIN_CRASHES_DESPITE_ANSWERS = 4;

/** Maximum number of crashes kept per content of which nothing else is kept. */
const MAX_FORMER_CRASHES_KEPT = 64;

/** Largest difference between the start of a trial and that of its run, in milliseconds. */
const SAME_START_MS = 250;

/** Maximum number of trials kept per content; trials older than its crashes no longer count. */
const MAX_TRIALS_KEPT = 8;

/**
 * Minimum time between two announcements to peers that a content is still requested, in
 * milliseconds: a small fraction of the time for which they remember it.
 */
const SEEN_ANNOUNCE_INTERVAL_MS = 60_000;

/** What may be sent of a content. */
export enum SuspectState {
  /** Its requests are sent without restriction. */
  Free = 'free',
  /** On probation: only single requests are sent, as trials. */
  Probation = 'doubted',
  /** Quarantined: no request is sent. */
  Quarantined = 'held',
}

/** One trial, in times of this process's monotonic clock. */
export interface Trial {
  readonly id: string;
  readonly startedAtMs: number;
  /** Whether the trial never ran on a server. */
  readonly isVoid: boolean;
}

/** A request content with its runs and trials. */
export class Suspect {
  readonly runs = new Map<string, SuspectRun>();

  /** Crashes at which the content ran too, but whose runs there was no room for; oldest first. */
  readonly #formerCrashIds = new Set<string>();

  #lastSeenAtMs = Number.NEGATIVE_INFINITY;

  /** When peers were last notified that the content is still requested. */
  #announcedAtMs = Number.NEGATIVE_INFINITY;

  #state = SuspectState.Free;

  #probationStartedAtMs = Number.NEGATIVE_INFINITY;

  #heldSinceMs = Number.POSITIVE_INFINITY;

  readonly #trials = new Map<string, Trial>();

  /** @param contentId - ID of the content */
  constructor(readonly contentId: string) {}

  /** What may be sent of the content. */
  get state(): SuspectState {
    return this.#state;
  }

  /** Whether the content is quarantined. */
  get isHeld(): boolean {
    return this.#state === SuspectState.Quarantined;
  }

  /** When the content was put on probation. */
  get probationStartedAtMs(): number {
    return this.#probationStartedAtMs;
  }

  /**
   * @param state - what may be sent from now on
   * @param nowMs - monotonic time in milliseconds
   */
  setState(state: SuspectState, nowMs: number): void {
    if (state === SuspectState.Probation) this.#probationStartedAtMs = nowMs;
    if (state === SuspectState.Quarantined) this.#heldSinceMs = nowMs;
    this.#state = state;
  }

  /** When the content was quarantined last. */
  get heldSinceMs(): number {
    return this.#heldSinceMs;
  }

  /** @param other - another suspect. @returns whether one request was a trial of both */
  sharesTrialWith(other: Suspect): boolean {
    return this.trials.some(({ id, isVoid }) => !isVoid && other.#trials.has(id));
  }

  /**
   * @param other - another suspect
   * @param run - a run of this one
   * @returns whether all trials of this one that began with the run were trials of both
   */
  sharesTrialsOf(other: Suspect, run: SuspectRun): boolean {
    return this.listTrialsOf(run).every(({ id }) => other.#trials.has(id));
  }

  /** @param run - a run. @returns the trials that began about when it did */
  listTrialsOf(run: SuspectRun): Trial[] {
    return this.trials.filter(
      ({ startedAtMs, isVoid }) =>
        !isVoid && Math.abs(startedAtMs - run.startedAtMs) <= SAME_START_MS,
    );
  }

  /** Whether any trial is kept. */
  get hasTrials(): boolean {
    return this.#trials.size > 0;
  }

  /** All trials that are kept, in order of their start. */
  get trials(): readonly Trial[] {
    return [...this.#trials.values()].sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  /**
   * @param trial - a trial that started, or that turned out never to have run
   * @returns whether it was unknown
   */
  addTrial(trial: Trial): boolean {
    const known = this.#trials.get(trial.id);
    if (known && (known.isVoid || !trial.isVoid)) return false;
    this.#trials.set(trial.id, { ...trial, startedAtMs: known?.startedAtMs ?? trial.startedAtMs });
    if (this.#trials.size > MAX_TRIALS_KEPT) {
      const { trials } = this;
      const evicted = trials.find(({ isVoid }) => isVoid) ?? trials[0];
      if (evicted) this.#trials.delete(evicted.id);
    }
    return true;
  }

  /**
   * Whether enough crashes count against the content to put it on probation. An answer to a run
   * that began before them excuses the first few alone: it says how the content did then.
   */
  get needsProbation(): boolean {
    const runs = this.listSuspectedRuns();
    const unexcusedCount = runs.filter(({ isExcused }) => !isExcused).length;
    return (
      unexcusedCount >= MIN_CRASHES_FOR_PROBATION || runs.length >= MIN_CRASHES_DESPITE_ANSWERS
    );
  }

  /** Number of crashes that count against the content. */
  get suspectedCrashCount(): number {
    let count = 0;
    this.runs.forEach(({ state }) => {
      if (state === CrashState.Suspected) count += 1;
    });
    return count;
  }

  /** When the content last ran or was requested. */
  get lastSeenAtMs(): number {
    return this.#lastSeenAtMs;
  }

  /**
   * Records that the content ran or was requested.
   *
   * @param atMs - when it ran or was requested
   * @returns whether the last announcement to peers is old enough for a new one
   */
  recordSeen(atMs: number): boolean {
    this.#lastSeenAtMs = Math.max(this.#lastSeenAtMs, atMs);
    if (this.#lastSeenAtMs - this.#announcedAtMs < SEEN_ANNOUNCE_INTERVAL_MS) return false;
    this.#announcedAtMs = this.#lastSeenAtMs;
    return true;
  }

  /**
   * Adds a run, or merges it with a known one of the same crash.
   *
   * @param run - the run
   * @returns whether it added anything
   */
  apply(run: SuspectRun): boolean {
    const known = this.runs.get(run.crashId);
    if (known) return mergeRun(known, run);
    if (this.runs.size >= MAX_CRASHES_KEPT) {
      this.#addFormerCrash(run.crashId);
      return false;
    }
    this.runs.set(run.crashId, run);
    return true;
  }

  /**
   * Evicts one run if there is no room for another: preferably a cleared one, else the oldest
   * after the first three. The first three determine from when trials count; the latest ones tell
   * apart contents that ran together at first.
   *
   * @param endedAtMs - when the new run ended
   * @returns ID of the crash whose run was evicted; undefined if there was room, or if the new
   *   run is older than all runs that may be evicted
   */
  evictRun(endedAtMs: number): string | undefined {
    if (this.runs.size < MAX_CRASHES_KEPT) return undefined;
    const runs = [...this.runs.values()].sort((a, b) => a.endedAtMs - b.endedAtMs);
    const oldest = runs.slice(MIN_CRASHES_FOR_PROBATION).find((run) => run.endedAtMs < endedAtMs);
    const evicted = runs.find(({ state }) => state === CrashState.Cleared) ?? oldest;
    if (evicted) {
      this.runs.delete(evicted.crashId);
      this.#addFormerCrash(evicted.crashId);
    }
    return evicted?.crashId;
  }

  /** @param crashId - a crash. @returns whether the content ran there, cleared of it or not */
  hasRunAt(crashId: string): boolean {
    return this.runs.has(crashId) || this.#formerCrashIds.has(crashId);
  }

  #addFormerCrash(crashId: string): void {
    this.#formerCrashIds.add(crashId);
    const [oldest] = this.#formerCrashIds;
    if (this.#formerCrashIds.size > MAX_FORMER_CRASHES_KEPT && oldest !== undefined)
      this.#formerCrashIds.delete(oldest);
  }

  /**
   * @param crashId - a crash that the content did not cause
   * @returns its run at the crash; undefined if there is none or it was cleared before
   */
  clear(crashId: string): SuspectRun | undefined {
    const run = this.runs.get(crashId);
    if (run?.state !== CrashState.Suspected) return undefined;
    run.state = CrashState.Cleared;
    return run;
  }

  /**
   * @param crashId - a crash at whose time the content was answered, by a run that began before
   * @returns its run at the crash; undefined if there is none or that was known
   */
  excuse(crashId: string): SuspectRun | undefined {
    const run = this.runs.get(crashId);
    if (run?.state !== CrashState.Suspected || run.isExcused) return undefined;
    Object.assign(run, { isExcused: true, isVouched: true });
    return run;
  }

  /** @returns runs that count against the content, in order of their end */
  listSuspectedRuns(): SuspectRun[] {
    return [...this.runs.values()]
      .filter(({ state }) => state === CrashState.Suspected)
      .sort((a, b) => a.endedAtMs - b.endedAtMs);
  }

  /** @returns client accounts under whose requests servers crashed */
  listAccountIds(): string[] {
    return [...new Set(this.listSuspectedRuns().flatMap(({ accountIds }) => [...accountIds]))];
  }

  /**
   * @param crashId - a crash
   * @returns whether the content may have caused it and wasn't answered shortly before
   */
  isSuspectedOf(crashId: string): boolean {
    const run = this.runs.get(crashId);
    return run?.state === CrashState.Suspected && !run.isVouched;
  }
}
