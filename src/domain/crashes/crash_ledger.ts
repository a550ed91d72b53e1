/**
 * Ledger of the request contents that were running when backend servers crashed, and of those
 * that are quarantined.
 *
 * @module
 */
import { CrashState } from './crash_note.js';
import type { CrashNote } from './crash_note.js';
import type { RequestScope } from './_hold_scope.js';
import { ProbationList } from './probation_list.js';
import { CrashSuspectCounts } from './_crash_suspect_counts.js';
import { deriveState } from './_derive_state.js';
import { SuspectState } from './_suspect.js';
import { buildStateChange } from './suspect_state_change.js';
import type { SuspectStateChange } from './suspect_state_change.js';
import type { Suspect, SuspectRun, Trial } from './_suspect.js';
import { isClearedByAnswer } from './answer_evidence.js';
import { buildNote, listNotes } from './_suspect_notes.js';
import { SuspectTable } from './_suspect_table.js';
import { voidExplainedTrials } from './_explained_trials.js';

/**
 * How long a content is remembered after it last ran or was requested, in milliseconds. A content
 * that keeps arriving stays quarantined; otherwise it may be sent again after this time, as the
 * servers may have been fixed.
 */
export const SUSPECT_RETENTION_MS = 600_000;

/**
 * How long a content with no crash left against it is remembered, in milliseconds: late crash
 * notes may arrive for that long.
 */
const CLEARED_RETENTION_MS = 60_000;

/** Settings of the ledger. */
export interface CrashLedgerOptions {
  /** @returns time that crash notes about other runs at a crash may take, in milliseconds */
  readonly getNoteDelayMs: () => number;
}

/**
 * Merges the observations of all entry hosts. When a server crashes, every content that was
 * running there is a suspect, and usually at most one is the cause. A content that ran at three
 * crashes is put on probation: it is sent one request at a time, until an answer clears it, as a
 * request that completes is harmless, or until it is proven to be the cause and quarantined. A
 * content that merely ran beside the cause, even several times, is answered in its trial.
 */
export class CrashLedger {
  readonly #options: CrashLedgerOptions;

  readonly #table = new SuspectTable();

  readonly #probationList = new ProbationList(this.#table);

  #stateChanges: SuspectStateChange[] = [];

  #revision = 0;

  /** @param options - settings. Default: crash notes arrive at once */
  constructor(options: CrashLedgerOptions = { getNoteDelayMs: () => 0 }) {
    this.#options = options;
  }

  /** Number that increases with each change of the result of {@link list}. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of contents that are remembered. */
  get size(): number {
    return this.#table.size;
  }

  /** Number of quarantined contents. */
  get quarantinedCount(): number {
    return this.#table.list().filter(({ isHeld }) => isHeld).length;
  }

  /**
   * @param contentId - ID of a content or part
   * @param request - a request with it. Default: one of an unknown account, with it alone
   * @returns whether the request must not be sent to any server
   */
  isHeld(contentId: string, request?: RequestScope): boolean {
    const isHeld = this.#table.find(contentId)?.isHeld === true;
    return isHeld && this.#probationList.findProgress(contentId, request) === undefined;
  }

  /** Contents on probation. */
  get probationList(): ProbationList {
    return this.#probationList;
  }

  /**
   * Records that a content on probation was sent as a trial, or that the trial never ran.
   *
   * @param contentId - ID of the content
   * @param trial - the trial
   * @param nowMs - monotonic time in milliseconds
   * @returns crash notes for peers
   */
  recordTrial(contentId: string, trial: Trial, nowMs: number): CrashNote[] {
    const suspect = this.#table.find(contentId);
    if (!suspect?.addTrial(trial)) return [];
    this.#revision += 1;
    return listNotes(suspect, nowMs).slice(0, 1);
  }

  /**
   * Updates states that depend on the passed time.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  review(nowMs: number): void {
    this.#probationList.reset();
    const suspects = this.#table.list();
    const toReview = suspects.filter(
      ({ state, needsProbation }) => state !== SuspectState.Free || needsProbation,
    );
    if (toReview.length === 0) return;
    const noteDelayMs = this.#options.getNoteDelayMs();
    const evidence = { counts: new CrashSuspectCounts(suspects), nowMs, noteDelayMs };
    toReview.forEach((suspect) => {
      const state = deriveState(suspect, evidence);
      if (state !== suspect.state) this.#setState(suspect, state, nowMs);
    });
  }

  /** @returns the state changes since the last call */
  takeStateChanges(): readonly SuspectStateChange[] {
    const stateChanges = this.#stateChanges;
    this.#stateChanges = [];
    return stateChanges;
  }

  /**
   * Records that a content was requested.
   *
   * @param contentId - ID of the content
   * @param nowMs - monotonic time in milliseconds
   * @returns crash notes for peers, which keep them from forgetting the content too early
   */
  recordSeen(contentId: string, nowMs: number): CrashNote[] {
    const suspect = this.#table.find(contentId);
    return suspect?.recordSeen(nowMs) ? listNotes(suspect, nowMs) : [];
  }

  /**
   * Applies crash notes from this or another entry host.
   *
   * @param notes - crash notes
   * @param nowMs - monotonic time in milliseconds
   * @returns the crash notes that added something
   */
  apply(notes: readonly CrashNote[], nowMs: number): CrashNote[] {
    const newNotes = notes.filter((note) => this.#applyNote(note, nowMs));
    if (newNotes.length > 0) this.review(nowMs);
    const quarantinedIds = new Set(
      notes.filter(({ isHeld }) => isHeld).map(({ contentId }) => contentId),
    );
    quarantinedIds.forEach((contentId) => this.#adoptQuarantine(contentId, nowMs));
    return newNotes;
  }

  /**
   * Records that a content was answered. That speaks for the time at which the answered run began:
   * it clears runs from until then, and only excuses later ones.
   *
   * @param contentId - ID of the content
   * @param nowMs - monotonic time in milliseconds
   * @param startedAtMs - when the answered run began. Default: now
   * @returns crash notes for peers
   */
  clearContent(contentId: string, nowMs: number, startedAtMs = nowMs): CrashNote[] {
    const suspect = this.#table.find(contentId);
    if (!suspect) return [];
    const notes = suspect.listSuspectedRuns().flatMap((run) => {
      const isCleared = isClearedByAnswer(run.startedAtMs, startedAtMs);
      const changed = isCleared ? suspect.clear(run.crashId) : suspect.excuse(run.crashId);
      return this.#buildChange(suspect, changed, nowMs);
    });
    if (notes.length > 0) this.review(nowMs);
    return notes;
  }

  /**
   * Records that a server thought to have crashed is alive.
   *
   * @param crashId - ID of the supposed crash
   * @param nowMs - monotonic time in milliseconds
   * @returns crash notes for peers
   */
  clearCrash(crashId: string, nowMs: number): CrashNote[] {
    const suspects = this.#table.listByCrashes([crashId]);
    const notes = suspects.flatMap((suspect) =>
      this.#buildChange(suspect, suspect.clear(crashId), nowMs),
    );
    if (notes.length > 0) this.review(nowMs);
    return notes;
  }

  /**
   * @param crashId - ID of a crash
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the crash is known to have happened before that time
   */
  isKnownBefore(crashId: string, nowMs: number): boolean {
    const runs = this.#table.listByCrashes([crashId]).map((suspect) => suspect.runs.get(crashId));
    return runs.some((run) => run?.state === CrashState.Suspected && run.endedAtMs < nowMs);
  }

  /**
   * @param contentId - ID of a content
   * @param nowMs - monotonic time in milliseconds
   * @returns all crash notes about it
   */
  listByContent(contentId: string, nowMs: number): CrashNote[] {
    const suspect = this.#table.find(contentId);
    return suspect ? listNotes(suspect, nowMs) : [];
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns all crash notes, quarantined causes first
   */
  list(nowMs: number): CrashNote[] {
    return this.#table.listByRetentionPriority().flatMap((suspect) => listNotes(suspect, nowMs));
  }

  /**
   * Forgets contents that weren't seen for long.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  expire(nowMs: number): void {
    this.#table.list().forEach((suspect) => {
      const retentionMs =
        suspect.suspectedCrashCount > 0 ? SUSPECT_RETENTION_MS : CLEARED_RETENTION_MS;
      if (nowMs - suspect.lastSeenAtMs <= retentionMs) return;
      this.#table.remove(suspect);
      this.#revision += 1;
    });
  }

  #applyNote(note: CrashNote, nowMs: number): boolean {
    const { contentId, crashId, state, startedAgoMs, endedAgoMs } = note;
    const { isVouched = false, isExcused = false } = note;
    const { seenAgoMs, accountIds = [], trials = [] } = note;
    const retentionMs =
      state === CrashState.Suspected ? SUSPECT_RETENTION_MS : CLEARED_RETENTION_MS;
    if (seenAgoMs > retentionMs && !this.#table.find(contentId)) return false;
    const suspect = this.#table.getOrCreate(contentId);
    const mustAnnounceSeen = suspect.recordSeen(nowMs - seenAgoMs);
    const endedAtMs = nowMs - endedAgoMs;
    const evicted = suspect.runs.has(crashId) ? undefined : suspect.evictRun(endedAtMs);
    if (evicted !== undefined) this.#table.removeCrash(suspect, evicted);
    const hasNewRun = suspect.apply({
      crashId,
      state,
      isVouched,
      isExcused,
      accountIds: new Set(accountIds),
      startedAtMs: nowMs - startedAgoMs,
      endedAtMs,
    });
    if (hasNewRun) this.#table.addCrash(suspect, crashId);
    const newTrials = trials.filter(({ id, startedAgoMs: agoMs, isVoid = false }) =>
      suspect.addTrial({ id, startedAtMs: nowMs - agoMs, isVoid }),
    );
    const hasChanged = hasNewRun || newTrials.length > 0;
    if (hasChanged) this.#revision += 1;
    return hasChanged || mustAnnounceSeen;
  }

  #buildChange(suspect: Suspect, run: SuspectRun | undefined, nowMs: number): CrashNote[] {
    if (!run) return [];
    this.#revision += 1;
    return [buildNote(suspect, run, nowMs)];
  }

  /**
   * Adopts another host's quarantine of a content that is on probation here. Crash notes arrive
   * at different times on different hosts, so that hosts which know equally many crashes may still
   * decide differently.
   */
  #adoptQuarantine(contentId: string, nowMs: number): void {
    const suspect = this.#table.find(contentId);
    if (suspect?.state === SuspectState.Probation) {
      this.#setState(suspect, SuspectState.Quarantined, nowMs);
    }
  }

  #setState(suspect: Suspect, state: SuspectState, nowMs: number): void {
    if (suspect.isHeld !== (state === SuspectState.Quarantined)) this.#revision += 1;
    suspect.setState(state, nowMs);
    this.#probationList.reset();
    if (suspect.isHeld) voidExplainedTrials(suspect, this.#table);
    this.#stateChanges.push(buildStateChange(suspect, nowMs));
  }
}
