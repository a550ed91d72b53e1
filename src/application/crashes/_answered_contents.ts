/**
 * Remembers which contents this entry host answered, as evidence when servers crash under them.
 *
 * @module
 */
import { BoundedMap } from '../../domain/collections/mod.js';
import { CrashState, isClearedByAnswer } from '../../domain/crashes/mod.js';
import type { CrashNote } from '../../domain/crashes/mod.js';

/**
 * Time for which an answer is evidence that a content is harmless, in milliseconds. A popular
 * content runs at many servers at any moment, including all servers that a failing rack takes
 * down, so a content with a recent answer is quarantined only after a trial. The answer does not
 * clear it, because the content may have begun to crash servers since.
 */
const VOUCH_DURATION_MS = 60_000;

/**
 * Time after an answer in which it excuses the first few crashes of a content whose answered run
 * began clearly before them, in milliseconds: long runs of popular contents began long ago.
 */
const EXCUSING_WINDOW_MS = 1_000;

/** Maximum number of contents and parts whose answers are remembered. */
const MAX_ANSWERED_CONTENTS = 16_384;

/** Answers to one content, in monotonic milliseconds. */
interface ContentAnswers {
  /** When the run began that began last of those that were answered. */
  readonly startedAtMs: number;
  /** When the last answer ended. */
  readonly endedAtMs: number;
}

/** Remembers when each content was last answered with success. */
export class AnsweredContents {
  readonly #answers = new BoundedMap<ContentAnswers>(MAX_ANSWERED_CONTENTS);

  /**
   * @param contentId - content that was answered
   * @param nowMs - monotonic time in milliseconds
   * @param startedAtMs - when the answered run began
   */
  recordAnswer(contentId: string, nowMs: number, startedAtMs: number): void {
    const lastStartedAtMs = this.#answers.get(contentId)?.startedAtMs ?? startedAtMs;
    this.#answers.set(contentId, {
      startedAtMs: Math.max(lastStartedAtMs, startedAtMs),
      endedAtMs: nowMs,
    });
  }

  /**
   * Adds the evidence of remembered answers to a crash note.
   *
   * @param note - a run during which a server crashed
   * @param nowMs - monotonic time in milliseconds
   * @returns the note, cleared, or marked as excused or vouched for where an answer is recent enough
   */
  addEvidence(note: CrashNote, nowMs: number): CrashNote {
    const answers = this.#answers.get(note.contentId);
    if (answers === undefined || note.state === CrashState.Cleared) return note;
    if (isClearedByAnswer(nowMs - note.startedAgoMs, answers.startedAtMs))
      return { ...note, state: CrashState.Cleared };
    const sinceAnswerMs = nowMs - note.endedAgoMs - answers.endedAtMs;
    if (sinceAnswerMs >= VOUCH_DURATION_MS) return note;
    const { isVouched = false, isExcused = false } = note;
    const mayExcuse = !isExcused && sinceAnswerMs < EXCUSING_WINDOW_MS;
    if (isVouched && !mayExcuse) return note;
    return { ...note, isVouched: true, ...(mayExcuse ? { isExcused: true } : {}) };
  }
}
