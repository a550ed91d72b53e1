/**
 * Remembers which contents this entry host answered, as evidence when servers crash under them.
 *
 * @module
 */
import { BoundedMap } from '../../domain/collections/mod.js';
import { CrashState } from '../../domain/crashes/mod.js';
import type { CrashNote } from '../../domain/crashes/mod.js';

/**
 * Time for which an answer is evidence that a content is harmless, in milliseconds. A popular
 * content runs at many servers at any moment, including all servers that a failing rack takes
 * down, so a content with a recent answer is quarantined only after a trial. The answer does not
 * clear it, because the content may have begun to crash servers since.
 */
const VOUCH_DURATION_MS = 60_000;

/**
 * Time after an answer in which crashes are not attributed to the answered content, in
 * milliseconds. The content ran elsewhere at about the same moment, and times reported by other
 * entry hosts are late.
 */
const CLEARING_WINDOW_MS = 1_000;

/** Maximum number of contents and parts whose answers are remembered. */
const MAX_ANSWERED_CONTENTS = 16_384;

/** Remembers when each content was last answered with success. */
export class AnsweredContents {
  readonly #answeredAtMs = new BoundedMap<number>(MAX_ANSWERED_CONTENTS);

  /** @param contentId - content that was answered. @param nowMs - monotonic time in milliseconds */
  recordAnswer(contentId: string, nowMs: number): void {
    this.#answeredAtMs.set(contentId, nowMs);
  }

  /**
   * Adds the evidence of a remembered answer to a crash note.
   *
   * @param note - a run during which a server crashed
   * @param nowMs - monotonic time in milliseconds
   * @returns the note, cleared or marked as vouched for where an answer is recent enough
   */
  addEvidence(note: CrashNote, nowMs: number): CrashNote {
    const answeredAtMs = this.#answeredAtMs.get(note.contentId);
    if (answeredAtMs === undefined || note.state === CrashState.Cleared) return note;
    const sinceAnswerMs = nowMs - note.endedAgoMs - answeredAtMs;
    if (sinceAnswerMs < CLEARING_WINDOW_MS) return { ...note, state: CrashState.Cleared };
    return sinceAnswerMs < VOUCH_DURATION_MS && !note.isVouched
      ? { ...note, isVouched: true }
      : note;
  }
}
