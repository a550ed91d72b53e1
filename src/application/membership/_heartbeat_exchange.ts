/**
 * Sends heartbeats to all linked peers and matches the replies.
 *
 * @module
 */
import { PeerMessageType } from '../../ports/mod.js';
import type {
  Clock,
  HeartbeatMessage,
  HeartbeatReplyMessage,
  Metrics,
  PeerNetwork,
} from '../../ports/mod.js';

/** How long a heartbeat's sending time is remembered. */
const SENT_TIME_RETENTION_MS = 30_000;

/** What a heartbeat carries besides its type and number. */
export type HeartbeatContent = Omit<HeartbeatMessage, 'type' | 'sequence'>;

/** What the exchange needs. */
export interface HeartbeatExchangeOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
}

/** Numbers heartbeats, so that a reply tells when its question was sent. */
export class HeartbeatExchange {
  readonly #options: HeartbeatExchangeOptions;

  readonly #sentAtMs = new Map<number, number>();

  #sequence = 0;

  /** @param options - what the exchange needs */
  constructor(options: HeartbeatExchangeOptions) {
    this.#options = options;
  }

  /** @param content - what to tell every linked peer now */
  sendToAll(content: HeartbeatContent): void {
    const { peers } = this.#options;
    this.#expireSentTimes();
    const message = this.#buildHeartbeat(content);
    peers.listLinked().forEach(({ incarnation }) => peers.send(incarnation, message));
  }

  /** @param incarnation - whom to tell. @param content - what to tell it now */
  sendTo(incarnation: string, content: HeartbeatContent): void {
    this.#options.peers.send(incarnation, this.#buildHeartbeat(content));
  }

  /** @param incarnation - whose heartbeat. @param heartbeat - the heartbeat to be answered */
  sendReply(incarnation: string, heartbeat: HeartbeatMessage): void {
    const { sequence } = heartbeat;
    this.#options.peers.send(incarnation, { type: PeerMessageType.HeartbeatReply, sequence });
  }

  /**
   * Matches a reply.
   *
   * @param reply - the reply
   * @returns when its heartbeat was sent; undefined when that is too long ago
   */
  matchReply(reply: HeartbeatReplyMessage): number | undefined {
    const sentAtMs = this.#sentAtMs.get(reply.sequence);
    if (sentAtMs === undefined) return undefined;
    const roundTripMs = this.#options.clock.nowMs() - sentAtMs;
    this.#options.metrics.record('peer_round_trip_ms', roundTripMs);
    return sentAtMs;
  }

  #expireSentTimes(): void {
    const oldestMs = this.#options.clock.nowMs() - SENT_TIME_RETENTION_MS;
    this.#sentAtMs.forEach((atMs, sequence) => {
      if (atMs < oldestMs) this.#sentAtMs.delete(sequence);
    });
  }

  #buildHeartbeat(content: HeartbeatContent): HeartbeatMessage {
    this.#sequence += 1;
    this.#sentAtMs.set(this.#sequence, this.#options.clock.nowMs());
    return { type: PeerMessageType.Heartbeat, sequence: this.#sequence, ...content };
  }
}
