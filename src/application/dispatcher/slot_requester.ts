/**
 * The way back from a dispatcher to the owner that asks for a slot.
 *
 * @module
 */
import type { SlotGrantMessage, SlotRefusalMessage } from '../../ports/mod.js';

/** Who asked: another entry host over a link, or this one directly. */
export interface SlotRequester {
  /** The owner's incarnation. */
  readonly incarnation: string;
  /**
   * @param message - the answer
   * @returns false when it can't be sent; the owner will not use the grant then
   */
  send(message: SlotGrantMessage | SlotRefusalMessage): boolean;
}
