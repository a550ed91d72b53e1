/**
 * Which contents were running when backend servers ended, and which of them are held.
 *
 * @module
 */
import { CrashState } from './crash_note.js';
import type { CrashNote } from './crash_note.js';
import { DoubtList } from './doubt_list.js';
import { EndCounts } from './_end_counts.js';
import { deriveState } from './_judge.js';
import { CRASHES_TO_DOUBT, SuspectState } from './_suspect.js';
import type { Suspect, Trial } from './_suspect.js';
import { buildNote, listNotes } from './_suspect_notes.js';
import { SuspectTable } from './_suspect_table.js';

/**
 * How long a content is remembered after it ran or was asked for last, in milliseconds. One
 * that goes on coming stays held; one that doesn't gets a new chance, as servers may have been
 * mended since.
 */
export const REMEMBERED_MS = 600_000;

/** The same for one that nothing speaks against any more, in milliseconds: late word may come for so long. */
const CLEARED_MS = 60_000;

/** What may be sent of a content from now on. */
export interface Verdict {
  readonly contentId: string;
  readonly state: SuspectState;
  readonly isHeld: boolean;
  /** Crashes that speak against it. */
  readonly crashIds: readonly string[];
}

/** What the ledger needs. */
export interface CrashLedgerOptions {
  /** @returns how long word of what else ran at an end may take to come, in milliseconds */
  readonly getSettleMs: () => number;
}

/**
 * Joins what all entry hosts have seen. When a server ends, everything that ran there is a
 * suspect, and mostly one at most is to blame. A content that ran at three ends is in doubt: it
 * is sent singly until an answer clears it, as what runs to its end does no harm, or until it is
 * proven, and held. What ran beside such a request, once or several times, is answered in its
 * trial.
 */
export class CrashLedger {
  readonly #options: CrashLedgerOptions;

  readonly #table = new SuspectTable();

  readonly #doubts = new DoubtList(this.#table);

  #verdicts: Verdict[] = [];

  #revision = 0;

  /** @param options - what the ledger needs. Default: word comes at once */
  constructor(options: CrashLedgerOptions = { getSettleMs: () => 0 }) {
    this.#options = options;
  }

  /** Rises with each change of what {@link list} gives. */
  get revision(): number {
    return this.#revision;
  }

  /** Contents that are remembered. */
  get size(): number {
    return this.#table.size;
  }

  /** Contents that are held. */
  get heldCount(): number {
    return this.#table.list().filter(({ isHeld }) => isHeld).length;
  }

  /** @param contentId - a content. @returns whether it must not be sent to any server */
  isHeld(contentId: string): boolean {
    return this.#table.find(contentId)?.isHeld === true;
  }

  /** Contents in doubt. */
  get doubts(): DoubtList {
    return this.#doubts;
  }

  /**
   * Takes note that a content in doubt is sent, or that it was and never ran.
   *
   * @param contentId - the content
   * @param trial - the sending
   * @param nowMs - monotonic time in milliseconds
   * @returns what others should hear
   */
  noteTrial(contentId: string, trial: Trial, nowMs: number): CrashNote[] {
    const suspect = this.#table.find(contentId);
    if (!suspect?.addTrial(trial)) return [];
    this.#revision += 1;
    return listNotes(suspect, nowMs).slice(0, 1);
  }

  /** Judges anew what time has decided. @param nowMs - monotonic time in milliseconds */
  review(nowMs: number): void {
    this.#doubts.reset();
    const all = this.#table.list();
    const open = all.filter((suspect) => suspect.state !== SuspectState.Free || mayDoubt(suspect));
    if (open.length === 0) return;
    const settleMs = this.#options.getSettleMs();
    const evidence = { counts: new EndCounts(all), nowMs, settleMs };
    open.forEach((suspect) => {
      const state = deriveState(suspect, evidence);
      if (state !== suspect.state) this.#setState(suspect, state, nowMs);
    });
  }

  /** @returns what was decided since this was called last */
  takeVerdicts(): readonly Verdict[] {
    const verdicts = this.#verdicts;
    this.#verdicts = [];
    return verdicts;
  }

  /**
   * Takes note that a content is asked for.
   *
   * @param contentId - the content
   * @param nowMs - monotonic time in milliseconds
   * @returns what others should hear, so that they don't forget it sooner
   */
  noteSeen(contentId: string, nowMs: number): CrashNote[] {
    const suspect = this.#table.find(contentId);
    return suspect?.noteSeen(nowMs) ? listNotes(suspect, nowMs) : [];
  }

  /**
   * Takes in what was seen here or at another entry host.
   *
   * @param notes - about runs
   * @param nowMs - monotonic time in milliseconds
   * @returns those that are news
   */
  apply(notes: readonly CrashNote[], nowMs: number): CrashNote[] {
    const news = notes.filter((note) => this.#applyNote(note, nowMs));
    if (news.length > 0) this.review(nowMs);
    const held = new Set(notes.filter(({ isHeld }) => isHeld).map(({ contentId }) => contentId));
    held.forEach((contentId) => this.#mergeHold(contentId, nowMs));
    return news;
  }

  /**
   * Takes note that a content has been answered.
   *
   * @param contentId - the content
   * @param nowMs - monotonic time in milliseconds
   * @returns what others should hear
   */
  clearContent(contentId: string, nowMs: number): CrashNote[] {
    const suspect = this.#table.find(contentId);
    if (!suspect) return [];
    const crashIds = suspect.listSuspected().map(({ crashId }) => crashId);
    const notes = crashIds.flatMap((crashId) => this.#clearRun(suspect, crashId, nowMs));
    if (notes.length > 0) this.review(nowMs);
    return notes;
  }

  /**
   * Takes note that a server lives that was thought to have ended.
   *
   * @param crashId - the crash that was none
   * @param nowMs - monotonic time in milliseconds
   * @returns what others should hear
   */
  clearCrash(crashId: string, nowMs: number): CrashNote[] {
    const suspects = this.#table.listAt([crashId]);
    const notes = suspects.flatMap((suspect) => this.#clearRun(suspect, crashId, nowMs));
    if (notes.length > 0) this.review(nowMs);
    return notes;
  }

  /** @param crashId - a crash. @param nowMs - monotonic time. @returns whether it was over by then */
  isKnownBefore(crashId: string, nowMs: number): boolean {
    const runs = this.#table.listAt([crashId]).map((suspect) => suspect.runs.get(crashId));
    return runs.some((run) => run?.state === CrashState.Suspected && run.endedAtMs < nowMs);
  }

  /** @param contentId - a content. @param nowMs - monotonic time in milliseconds. @returns all about it */
  listContent(contentId: string, nowMs: number): CrashNote[] {
    const suspect = this.#table.find(contentId);
    return suspect ? listNotes(suspect, nowMs) : [];
  }

  /** @param nowMs - monotonic time in milliseconds. @returns everything, held contents first */
  list(nowMs: number): CrashNote[] {
    return this.#table.listByWeight().flatMap((suspect) => listNotes(suspect, nowMs));
  }

  /** Forgets what was not seen for long. @param nowMs - monotonic time in milliseconds */
  expire(nowMs: number): void {
    this.#table.list().forEach((suspect) => {
      const keptMs = suspect.suspectedCount > 0 ? REMEMBERED_MS : CLEARED_MS;
      if (nowMs - suspect.seenAtMs <= keptMs) return;
      this.#table.remove(suspect);
      this.#revision += 1;
    });
  }

  #applyNote(note: CrashNote, nowMs: number): boolean {
    const { contentId, crashId, state, isVouched = false, startedAgoMs, endedAgoMs } = note;
    const { seenAgoMs, trials = [] } = note;
    const keptMs = state === CrashState.Suspected ? REMEMBERED_MS : CLEARED_MS;
    if (seenAgoMs > keptMs && !this.#table.find(contentId)) return false;
    const suspect = this.#table.take(contentId);
    const isSeenLater = suspect.noteSeen(nowMs - seenAgoMs);
    const endedAtMs = nowMs - endedAgoMs;
    const dropped = suspect.runs.has(crashId) ? undefined : suspect.dropForRoom(endedAtMs);
    if (dropped !== undefined) this.#table.removeCrash(suspect, dropped);
    const isNews = suspect.apply({
      crashId,
      state,
      isVouched,
      startedAtMs: nowMs - startedAgoMs,
      endedAtMs,
    });
    if (isNews) this.#table.addCrash(suspect, crashId);
    const newTrials = trials.filter(({ id, startedAgoMs: agoMs, isVoid: hasNotRun = false }) =>
      suspect.addTrial({ id, startedAtMs: nowMs - agoMs, isVoid: hasNotRun }),
    );
    const hasChanged = isNews || newTrials.length > 0;
    if (hasChanged) this.#revision += 1;
    return hasChanged || isSeenLater;
  }

  #clearRun(suspect: Suspect, crashId: string, nowMs: number): CrashNote[] {
    const run = suspect.clear(crashId);
    if (!run) return [];
    this.#revision += 1;
    return [buildNote(suspect, run, nowMs)];
  }

  /**
   * Word of what ran when comes at different times to different hosts. Where one holds a content,
   * all do that know as many ends.
   */
  #mergeHold(contentId: string, nowMs: number): void {
    const suspect = this.#table.find(contentId);
    if (suspect?.state === SuspectState.Doubted) {
      this.#setState(suspect, SuspectState.Held, nowMs);
    }
  }

  #setState(suspect: Suspect, state: SuspectState, nowMs: number): void {
    const { contentId } = suspect;
    const wasHeld = suspect.isHeld;
    suspect.setState(state, nowMs);
    this.#doubts.reset();
    if (wasHeld !== suspect.isHeld) this.#revision += 1;
    const crashIds = suspect.listSuspected().map(({ crashId }) => crashId);
    this.#verdicts.push({ contentId, state, isHeld: suspect.isHeld, crashIds });
  }
}

function mayDoubt(suspect: Suspect): boolean {
  return suspect.suspectedCount >= CRASHES_TO_DOUBT;
}
