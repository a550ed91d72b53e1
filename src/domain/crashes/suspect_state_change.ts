/**
 * Changes of what may be sent of a content or part.
 *
 * @module
 */
import type { SuspectState } from './_suspect.js';

/** Change of what may be sent of a content. */
export interface SuspectStateChange {
  readonly contentId: string;
  readonly state: SuspectState;
  /** Whether the content is quarantined. */
  readonly isHeld: boolean;
  /** IDs of the crashes that count against the content. */
  readonly crashIds: readonly string[];
}
