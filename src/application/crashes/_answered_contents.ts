/**
 * Contents that were answered here, and what that says of ends under which they ran.
 *
 * @module
 */
import { RecentKeys } from '../../domain/collections/mod.js';
import { CrashState } from '../../domain/crashes/mod.js';
import type { CrashNote } from '../../domain/crashes/mod.js';

/**
 * How long an answer speaks for a content, in milliseconds. A popular one runs at many servers
 * at any moment, also at those that a failing rack takes along; one that was answered a while
 * ago is held after a trial only. It may have begun to end servers since.
 */
const VOUCHED_MS = 60_000;

/**
 * Ends up to this time after an answer are not laid to what was answered, in milliseconds: it ran
 * elsewhere at about the same moment, and times of other entry hosts are late.
 */
const COVERED_MS = 1_000;

/** Most contents whose answers are remembered. */
const MAX_ANSWERED = 4_096;

/** Remembers answers of requests that were run to a good end. */
export class AnsweredContents {
  readonly #answeredAtMs = new RecentKeys<number>(MAX_ANSWERED);

  /** @param contentId - a content that was answered. @param nowMs - monotonic time in milliseconds */
  note(contentId: string, nowMs: number): void {
    this.#answeredAtMs.set(contentId, nowMs);
  }

  /**
   * @param note - a run under which a server ended
   * @param nowMs - monotonic time in milliseconds
   * @returns the note with what an answer says of it
   */
  reviewNote(note: CrashNote, nowMs: number): CrashNote {
    const answeredAtMs = this.#answeredAtMs.get(note.contentId);
    if (answeredAtMs === undefined || note.state === CrashState.Cleared) return note;
    const sinceAnswerMs = nowMs - note.endedAgoMs - answeredAtMs;
    if (sinceAnswerMs < COVERED_MS) return { ...note, state: CrashState.Cleared };
    return sinceAnswerMs < VOUCHED_MS && !note.isVouched ? { ...note, isVouched: true } : note;
  }
}
