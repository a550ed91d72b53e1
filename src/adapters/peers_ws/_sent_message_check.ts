/**
 * Checks messages before they are sent.
 *
 * @module
 */
import { PeerMessageType } from '../../ports/mod.js';
import type { PeerMessage } from '../../ports/mod.js';
import { parseMessage } from './_message_schema.js';

/**
 * Checks what goes to many peers once: the same message, and the changes of an update, which is
 * another message for each peer.
 */
export class SentMessageCheck {
  #lastMessage: PeerMessage | undefined;

  #lastChanges: readonly unknown[] | undefined;

  /**
   * @param message - a message; it and its changes aren't modified after the first check
   * @throws Error that names the fault of a malformed message
   */
  check(message: PeerMessage): void {
    if (message === this.#lastMessage) return;
    const changes = message.type === PeerMessageType.FeedUpdate ? message.changes : undefined;
    const isChecked = changes !== undefined && changes === this.#lastChanges;
    parseMessage(isChecked ? { ...message, changes: [] } : message);
    this.#lastMessage = message;
    if (changes) this.#lastChanges = changes;
  }
}
