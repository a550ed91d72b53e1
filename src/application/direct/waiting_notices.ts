/**
 * Notifies peers at once when a more urgent call starts to wait than they know of.
 *
 * @module
 */
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, Metrics, PeerNetwork } from '../../ports/mod.js';
import { REPORT_INTERVAL_MS } from './_report_scheduler.js';
import type { ServerRegistry } from './server_registry.js';

/**
 * Minimum interval between two notices per receiving peer, in milliseconds: with sixteen peers,
 * one notice is sent in 64 ms.
 */
const INTERVAL_PER_PEER_MS = 4;

/**
 * Minimum interval between two notices, in milliseconds. In a fleet of sixty entry hosts, eleven
 * of them notify one relay, which then receives at most 275 notices per second.
 */
const MIN_INTERVAL_MS = 40;

/** The queue of one service at this entry host. */
export interface QueueSummary {
  readonly size: number;
  /** Urgency of the first waiting call; Infinity when none waits. */
  readonly firstUrgency: number;
}

/** Dependencies of {@link WaitingNotices}. */
export interface WaitingNoticesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  readonly servers: ServerRegistry;
  /** @param serviceId - ID of the service for whose slots calls wait at a peer */
  readonly onNotice?: (serviceId: string) => void;
}

interface SentNotice {
  readonly urgency: number;
  readonly sentAtMs: number;
}

const NEVER_SENT: SentNotice = { urgency: Infinity, sentAtMs: Number.NEGATIVE_INFINITY };

/**
 * Sends and receives notices of waiting calls. A call may wait for less time than passes between two
 * reports. Without notices, slots that become free go to calls of lower ranks until then.
 */
export class WaitingNotices {
  readonly #options: WaitingNoticesOptions;

  /** The last notice by service ID. */
  readonly #lastSent = new Map<string, SentNotice>();

  /** @param options - dependencies */
  constructor(options: WaitingNoticesOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.WaitingNotice, ({ incarnation }, notice) => {
      options.servers.peers.applyWaitingNotice(incarnation, notice);
      options.onNotice?.(notice.serviceId);
    });
  }

  /** @param serviceId - ID of the service that a call waits for. @param queue - its queue */
  notifyPeers(serviceId: string, { size, firstUrgency }: QueueSummary): void {
    const { clock, peers, metrics } = this.#options;
    const linked = peers.listLinkedPeers();
    const nowMs = clock.nowMs();
    const lastSent = this.#lastSent.get(serviceId) ?? NEVER_SENT;
    const sinceMs = nowMs - lastSent.sentAtMs;
    if (sinceMs < Math.max(MIN_INTERVAL_MS, INTERVAL_PER_PEER_MS * linked.length)) return;
    // Until the next report replaces it, the last notice covers calls that are no more urgent.
    if (sinceMs < REPORT_INTERVAL_MS && lastSent.urgency <= firstUrgency) return;
    this.#lastSent.set(serviceId, { urgency: firstUrgency, sentAtMs: nowMs });
    const type = PeerMessageType.WaitingNotice;
    linked.forEach(({ incarnation }) => {
      peers.send(incarnation, { type, serviceId, calls: size, firstUrgency });
    });
    metrics.count('waiting_notices_total');
  }
}
