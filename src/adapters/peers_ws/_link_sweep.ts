/**
 * Looks after quiet links.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';
import { LinkEnd } from './_peer_link.js';
import type { PeerLink } from './_peer_link.js';

/** What the sweep needs. */
export interface LinkSweepOptions {
  readonly clock: Clock;
  readonly pingAfterMs: number;
  readonly silentAfterMs: number;
  /** All links, those in their handshake too. */
  readonly listLinks: () => readonly PeerLink[];
}

/** Ends silent links and handshakes that hang, and pings those that are quiet. */
export class LinkSweep {
  readonly #options: LinkSweepOptions;

  #timer: Timer | undefined;

  #sweptAtMs = 0;

  /** @param options - what the sweep needs */
  constructor(options: LinkSweepOptions) {
    this.#options = options;
  }

  /** Begins to look after the links. */
  start(): void {
    this.#sweptAtMs = this.#options.clock.nowMs();
    this.#schedule();
  }

  /** Looks after them no more. */
  stop(): void {
    this.#timer?.cancel();
  }

  #schedule(): void {
    this.#timer = this.#options.clock.setTimer(this.#options.pingAfterMs, () => {
      this.#schedule();
      this.#checkLinks();
    });
  }

  #checkLinks(): void {
    const { clock, silentAfterMs, listLinks } = this.#options;
    const nowMs = clock.nowMs();
    const wasPaused = nowMs - this.#sweptAtMs >= silentAfterMs;
    this.#sweptAtMs = nowMs;
    listLinks().forEach((link) => {
      // After a pause of this process its links only look silent: what came is not read yet.
      if (wasPaused) link.noteReceived();
      this.#checkLink(link, nowMs - link.receivedAtMs);
    });
  }

  #checkLink(link: PeerLink, silentMs: number): void {
    const { pingAfterMs, silentAfterMs } = this.#options;
    if (silentMs >= silentAfterMs) link.end(LinkEnd.Silent, `nothing came for ${silentMs} ms`);
    else if (silentMs >= pingAfterMs) link.sendPing();
  }
}
