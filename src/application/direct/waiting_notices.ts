/**
 * Tells peers at once when a call begins to wait that goes before what they know of.
 *
 * @module
 */
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, Metrics, PeerNetwork } from '../../ports/mod.js';
import { REPORT_INTERVAL_MS } from './_report_rounds.js';
import type { ServerKeeper } from './server_keeper.js';

/**
 * Time between two notices for each peer that they are sent to, in milliseconds: at sixteen
 * peers one in 64 ms. Chosen; what a notice costs was not measured apart.
 */
const INTERVAL_PER_PEER_MS = 4;

/**
 * Shortest time between two notices, in milliseconds: of sixty hosts eleven tell one relay,
 * which hears 275 a second at most then.
 */
const MIN_INTERVAL_MS = 40;

/** The calls that wait for one service. */
export interface QueueSummary {
  readonly size: number;
  /** Urgency of the first; Infinity when none waits. */
  readonly firstUrgency: number;
}

/** What the notices need. */
export interface WaitingNoticesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  readonly servers: ServerKeeper;
}

interface SentNotice {
  readonly urgency: number;
  readonly sentAtMs: number;
}

const NEVER_SENT: SentNotice = { urgency: Infinity, sentAtMs: Number.NEGATIVE_INFINITY };

/**
 * A call waits a quarter of a second at most while its aim can be met; reports come every
 * 150 ms. Without notices freed slots went to late calls while fresh ones of the same route
 * were refused elsewhere. With nine hosts at a third more than their engines serve, in four
 * runs, the served part of calls rose by 0.7 to 2 in 100.
 */
export class WaitingNotices {
  readonly #options: WaitingNoticesOptions;

  /** By service. */
  readonly #lastSent = new Map<string, SentNotice>();

  /** @param options - what the notices need */
  constructor(options: WaitingNoticesOptions) {
    this.#options = options;
    options.peers.handle(PeerMessageType.WaitingNotice, ({ incarnation }, notice) =>
      options.servers.peers.applyNotice(incarnation, notice),
    );
  }

  /** @param serviceId - service that a call has begun to wait for. @param waiting - the calls that wait */
  notifyPeers(serviceId: string, { size, firstUrgency }: QueueSummary): void {
    const { clock, peers, metrics } = this.#options;
    const linked = peers.listLinked();
    const nowMs = clock.nowMs();
    const lastSent = this.#lastSent.get(serviceId) ?? NEVER_SENT;
    const sinceMs = nowMs - lastSent.sentAtMs;
    if (sinceMs < Math.max(MIN_INTERVAL_MS, INTERVAL_PER_PEER_MS * linked.length)) return;
    // The next report has told it anew; after that the notice counts no more.
    if (sinceMs < REPORT_INTERVAL_MS && lastSent.urgency <= firstUrgency) return;
    this.#lastSent.set(serviceId, { urgency: firstUrgency, sentAtMs: nowMs });
    const type = PeerMessageType.WaitingNotice;
    linked.forEach(({ incarnation }) => {
      peers.send(incarnation, { type, serviceId, calls: size, firstUrgency });
    });
    metrics.count('waiting_notices_total');
  }
}
