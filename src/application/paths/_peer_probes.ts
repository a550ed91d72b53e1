/**
 * Has peers probe the addresses of backend servers.
 *
 * @module
 */
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, PeerNetwork, ProxyProbeReplyMessage } from '../../ports/mod.js';

/** Time after which a probe through a peer counts as failed, in milliseconds. */
const PROBE_TIMEOUT_MS = 600;

/** What a peer found. */
export type ProbeReply = Pick<ProxyProbeReplyMessage, 'reachability' | 'reachesOthers'>;

interface PendingProbe {
  readonly peer: string;
  readonly finish: (reply: ProbeReply | undefined) => void;
}

/** Dependencies of {@link PeerProbes}. */
export interface PeerProbesOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
}

/** Sends questions to peers, and awaits each answer for a bounded time. */
export class PeerProbes {
  readonly #options: PeerProbesOptions;

  readonly #pending = new Map<number, PendingProbe>();

  #lastId = 0;

  /** @param options - dependencies */
  constructor(options: PeerProbesOptions) {
    this.#options = options;
    const { peers } = options;
    peers.handle(PeerMessageType.ProxyProbeReply, ({ incarnation }, reply) => {
      const probe = this.#pending.get(reply.probeId);
      if (probe?.peer === incarnation) probe.finish(reply);
    });
    peers.onLinkChange(({ peer, up }) => {
      if (!up) this.#handleLinkDown(peer.incarnation);
    });
  }

  /**
   * @param peer - incarnation of a linked peer
   * @param address - IP address and port
   * @returns what the peer found; undefined if it did not answer in time
   */
  ask(peer: string, address: string): Promise<ProbeReply | undefined> {
    const { clock, peers } = this.#options;
    this.#lastId += 1;
    const probeId = this.#lastId;
    return new Promise((resolve) => {
      const timer = clock.setTimer(PROBE_TIMEOUT_MS, () =>
        this.#pending.get(probeId)?.finish(undefined),
      );
      const finish = (reply: ProbeReply | undefined): void => {
        timer.cancel();
        this.#pending.delete(probeId);
        resolve(reply);
      };
      this.#pending.set(probeId, { peer, finish });
      const isSent = peers.send(peer, { type: PeerMessageType.ProxyProbe, probeId, address });
      if (!isSent) finish(undefined);
    });
  }

  #handleLinkDown(incarnation: string): void {
    [...this.#pending.values()]
      .filter(({ peer }) => peer === incarnation)
      .forEach(({ finish }) => finish(undefined));
  }
}
