/**
 * Has links replaced that have gone silent.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog, Metrics, PeerNetwork } from '../../ports/mod.js';

/** What the replacer needs. */
export interface SilentLinkReplacerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  /** Least time between two replacements of one link, in milliseconds. */
  readonly suspectAfterMs: number;
  /** Whether a peer answers no heartbeats. */
  readonly isSilent: (incarnation: string) => boolean;
}

/**
 * Looks for links whose peer does not answer. Something between the two ends can
 * lose track of a connection: neither end is told, and new connections work. One
 * would notice a peer that is suspected for ever although it runs.
 */
export class SilentLinkReplacer {
  readonly #options: SilentLinkReplacerOptions;

  readonly #replacedAtMs = new Map<string, number>();

  /** @param options - what the replacer needs */
  constructor(options: SilentLinkReplacerOptions) {
    this.#options = options;
  }

  /** Replaces the links that are silent now. */
  replaceSilentLinks(): void {
    const { clock, log, metrics, peers } = this.#options;
    const nowMs = clock.nowMs();
    this.#expireReplacements(nowMs);
    peers
      .listLinked()
      .filter(({ incarnation }) => this.#mustReplace(incarnation))
      .forEach(({ id, incarnation }) => {
        this.#replacedAtMs.set(incarnation, nowMs);
        log.write(LogLevel.Warn, 'peer_link_silent', { entryHost: id, incarnation });
        metrics.count('peer_links_replaced_total');
        peers.replaceLink(incarnation);
      });
  }

  #mustReplace(incarnation: string): boolean {
    return this.#options.isSilent(incarnation) && !this.#replacedAtMs.has(incarnation);
  }

  #expireReplacements(nowMs: number): void {
    this.#replacedAtMs.forEach((atMs, incarnation) => {
      if (nowMs - atMs >= this.#options.suspectAfterMs) this.#replacedAtMs.delete(incarnation);
    });
  }
}
