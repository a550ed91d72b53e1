/**
 * Looks after quiet links.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';
import { LinkEndCause } from './_peer_link.js';
import type { PeerLink } from './_peer_link.js';

/** What the sweep needs. */
export interface LinkMonitorOptions {
  readonly clock: Clock;
  readonly pingAfterMs: number;
  readonly silentAfterMs: number;
  /** All links, those in their handshake too. */
  readonly listLinks: () => readonly PeerLink[];
}

/** Ends silent links and handshakes that hang, and pings those that are quiet. */
export class LinkMonitor {
  readonly #options: LinkMonitorOptions;

  #timer: Timer | undefined;

  #lastCheckAtMs = 0;

  /** @param options - what the sweep needs */
  constructor(options: LinkMonitorOptions) {
    this.#options = options;
  }

  /** Begins to look after the links. */
  start(): void {
    this.#lastCheckAtMs = this.#options.clock.nowMs();
    this.#scheduleCheck();
  }

  /** Looks after them no more. */
  stop(): void {
    this.#timer?.cancel();
  }

  #scheduleCheck(): void {
    this.#timer = this.#options.clock.setTimer(this.#options.pingAfterMs, () => {
      this.#scheduleCheck();
      this.#checkLinks();
    });
  }

  #checkLinks(): void {
    const { clock, silentAfterMs, listLinks } = this.#options;
    const nowMs = clock.nowMs();
    const wasPaused = nowMs - this.#lastCheckAtMs >= silentAfterMs;
    this.#lastCheckAtMs = nowMs;
    listLinks().forEach((link) => {
      // After a pause of this process its links only look silent: what came is not read yet.
      if (wasPaused) link.recordReceived();
      this.#checkLink(link, nowMs - link.receivedAtMs);
    });
  }

  #checkLink(link: PeerLink, silentMs: number): void {
    const { pingAfterMs, silentAfterMs } = this.#options;
    if (silentMs >= silentAfterMs) link.end(LinkEndCause.Silent, `nothing came for ${silentMs} ms`);
    else if (silentMs >= pingAfterMs) link.sendPing();
  }
}
