/**
 * Reply path from a dispatcher to the owner that requests a slot.
 *
 * @module
 */
import type { SlotGrantMessage, SlotRefusalMessage } from '../../ports/mod.js';

/** The owner of a slot request: another entry host over a peer link, or this one in process. */
export interface SlotRequester {
  /** The owner's incarnation. */
  readonly incarnation: string;
  /**
   * @param message - the reply
   * @returns false when it can't be sent; the owner then doesn't use the grant
   */
  send(message: SlotGrantMessage | SlotRefusalMessage): boolean;
}
