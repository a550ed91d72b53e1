/**
 * Sends heartbeats to linked peers and matches the replies with them.
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

/** How long the send time of a heartbeat is kept, in milliseconds; later replies don't match. */
const SENT_TIME_RETENTION_MS = 30_000;

/** Content of a heartbeat without its type and sequence number. */
export type HeartbeatContent = Omit<HeartbeatMessage, 'type' | 'sequence'>;

/** Dependencies of {@link HeartbeatExchange}. */
export interface HeartbeatExchangeOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
}

/** Numbers heartbeats, so that a reply can be matched with the time its heartbeat was sent. */
export class HeartbeatExchange {
  readonly #options: HeartbeatExchangeOptions;

  readonly #sentAtMs = new Map<number, number>();

  #sequence = 0;

  /** @param options - clock, metrics and links */
  constructor(options: HeartbeatExchangeOptions) {
    this.#options = options;
  }

  /** Sends one heartbeat to every linked peer. @param content - its content */
  sendToAll(content: HeartbeatContent): void {
    const { peers } = this.#options;
    this.#expireSentTimes();
    const message = this.#buildHeartbeat(content);
    peers.listLinkedPeers().forEach(({ incarnation }) => peers.send(incarnation, message));
  }

  /** Sends a heartbeat to one peer. @param incarnation - the peer. @param content - its content */
  sendTo(incarnation: string, content: HeartbeatContent): void {
    this.#options.peers.send(incarnation, this.#buildHeartbeat(content));
  }

  /** Replies to a heartbeat. @param incarnation - its sender. @param heartbeat - the heartbeat */
  sendReply(incarnation: string, heartbeat: HeartbeatMessage): void {
    const { sequence } = heartbeat;
    this.#options.peers.send(incarnation, { type: PeerMessageType.HeartbeatReply, sequence });
  }

  /**
   * Matches a reply with its heartbeat and records the round-trip time.
   *
   * @param reply - the reply
   * @returns when the heartbeat was sent; undefined if its send time is no longer kept
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
