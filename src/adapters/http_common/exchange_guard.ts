/**
 * Bounds what a server may send in one exchange beside the body of its answer.
 *
 * @module
 */
import type { ClientRequest } from 'node:http';
import { FramingGuard } from './_framing_guard.js';

/** Watches the connection of a request from the moment at which it has one. */
export class ExchangeGuard {
  #framing: FramingGuard | undefined;

  #excess: string | undefined;

  /**
   * @param request - a request that has no connection yet
   * @param onExceeded - called with the reason when the connection must be closed
   */
  constructor(request: ClientRequest, onExceeded: (reason: string) => void) {
    request.once('socket', (socket) => {
      this.#framing = new FramingGuard(socket, (reason) => {
        this.#excess ??= reason;
        onExceeded(reason);
      });
    });
    request.on('information', () => this.#framing?.recordInformation());
    request.once('response', () => this.#framing?.recordHead());
    request.once('close', () => this.stop());
  }

  /** Why the answer is none, also if the parser takes it for whole; undefined if it may be one. */
  get excess(): string | undefined {
    return this.#excess;
  }

  /** @param byteCount - bytes of the body that have arrived */
  recordBody(byteCount: number): void {
    this.#framing?.recordBody(byteCount);
  }

  /** Limits the time of a body that nobody uses. */
  startDiscarding(): void {
    this.#framing?.startDiscarding();
  }

  /** Stops watching; the connection may be reused. */
  stop(): void {
    this.#framing?.stop();
  }
}
