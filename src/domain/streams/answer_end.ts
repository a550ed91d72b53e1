/**
 * Decides what becomes of an answer once its backend server sends no more of it.
 *
 * @module
 */

/** What becomes of an answer. */
export enum AnswerEnd {
  /** Its server marked the end: it is marked as complete for the caller too. */
  Marked = 'marked',
  /** It ended with its connection: it ends so for the caller, or with a mark if one was promised. */
  Unmarked = 'unmarked',
  /** It is incomplete: another server continues or replaces it, or it is aborted. */
  BrokenOff = 'broken_off',
}

/** How an answer ended whose connection was not reset. */
export interface AnswerEndFacts {
  /** Whether the server marked the end, by a length or by chunks. */
  readonly isFramed: boolean;
  /** Whether the answer ended inside an event of a stream. */
  readonly isInsideEvent: boolean;
  /** Whether no byte of a body arrived, so that nothing is lost if another server answers. */
  readonly isEmpty: boolean;
  /** Whether the caller has the head of an answer that promises a mark. */
  readonly isMarkPromised: boolean;
}

/**
 * Decides about the end of an answer. Only what its server marked counts as marked.
 *
 * @param facts - how the answer ended
 * @returns what becomes of it
 */
export function classifyAnswerEnd(facts: AnswerEndFacts): AnswerEnd {
  if (facts.isInsideEvent) return AnswerEnd.BrokenOff;
  if (facts.isFramed) return AnswerEnd.Marked;
  return facts.isEmpty || facts.isMarkPromised ? AnswerEnd.BrokenOff : AnswerEnd.Unmarked;
}

/**
 * @param facts - how an answer ended
 * @returns why it counts as broken off, for the log
 */
export function describeBrokenEnd({ isInsideEvent }: AnswerEndFacts): string {
  return isInsideEvent ? 'answer ended inside an event' : 'nothing marked the end of the answer';
}
