/**
 * Sends requests to backend servers through peers.
 *
 * @module
 */
import type { HostState } from '../../domain/overlay/mod.js';
import { mayProxy } from '../../domain/paths/mod.js';
import type { PeerObservation } from '../../domain/paths/mod.js';
import { Reachability } from '../../ports/mod.js';
import type {
  BackendExchange,
  BackendListener,
  BackendRequest,
  Clock,
  EventLog,
  Metrics,
  PeerNetwork,
  RandomSource,
} from '../../ports/mod.js';
import { OutgoingExchanges } from './_outgoing_exchanges.js';
import { PeerProbes } from './_peer_probes.js';
import { PeerReach } from './_peer_reach.js';

/** Time for which a peer that reaches no server is not used, in milliseconds. */
const LOST_PEER_MS = 2_000;

/** Number of peers that are asked for one probe. */
const PROBING_PEERS = 2;

/** Dependencies of {@link ProxyClient}. */
export interface ProxyClientOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Availability zone of this entry host. */
  readonly availabilityZone: string;
  /** @returns peers that are heard, directly or through others */
  readonly listHeard: () => readonly HostState[];
}

/** Picks peers, hands them requests and probes, and passes on what they report. */
export class ProxyClient {
  readonly #options: ProxyClientOptions;

  readonly #exchanges: OutgoingExchanges;

  readonly #probes: PeerProbes;

  readonly #reach: PeerReach;

  /** When peers were last found to reach no server, by incarnation, in monotonic milliseconds. */
  readonly #lostAtMs = new Map<string, number>();

  /** @param options - dependencies */
  constructor(options: ProxyClientOptions) {
    this.#options = options;
    this.#reach = new PeerReach(options.clock);
    this.#probes = new PeerProbes(options);
    this.#exchanges = new OutgoingExchanges({
      ...options,
      reach: this.#reach,
      listLinkedFor: (excluded, address) => this.listLinkedFor(excluded, address),
    });
    options.peers.onLinkChange(({ peer, up }) => {
      if (!up) this.#lostAtMs.delete(peer.incarnation);
    });
  }

  /** Number of requests in flight through peers. */
  get exchangeCount(): number {
    return this.#exchanges.count;
  }

  /** @param peer - incarnation of a peer. @returns whether requests are in flight through it */
  isUsing(peer: string): boolean {
    return this.#exchanges.isUsing(peer);
  }

  /** Whether any peer can be asked to send a request. */
  get hasPeers(): boolean {
    return this.listLinked(new Set()).length > 0;
  }

  /**
   * Hands a request to a peer.
   *
   * @param request - the request and its intended backend server
   * @param listener - receives the answer, also that no peer takes the request
   * @returns a handle of the request; undefined if there is no peer, and then nothing is called
   */
  send(request: BackendRequest, listener: BackendListener): BackendExchange | undefined {
    return this.#exchanges.send(request, listener);
  }

  /** Ends all timers. */
  stop(): void {
    this.#exchanges.stop();
  }

  /**
   * Asks a peer whether it can connect to an address, and whether it reaches any server.
   *
   * @param peer - incarnation of a linked peer
   * @param address - IP address and port
   * @returns what it found; the promise never rejects
   */
  async ask(peer: string, address: string): Promise<PeerObservation> {
    const reply = await this.#probes.ask(peer, address);
    const hasConnected = reply && reply.reachability === Reachability.Open;
    const observation = { peer, hasConnected, reachesOthers: reply?.reachesOthers };
    if (hasConnected !== undefined) this.#reach.record(peer, address, hasConnected);
    if (hasConnected === true || observation.reachesOthers === true) this.#lostAtMs.delete(peer);
    else if (observation.reachesOthers === false)
      this.#lostAtMs.set(peer, this.#options.clock.nowMs());
    return observation;
  }

  /**
   * Asks peers whether a process listens at an address. What peers find that reach no server
   * themselves counts for nothing.
   *
   * @param address - IP address and port
   * @returns open if any of them could connect; undefined if none answered whose word counts
   */
  async probe(address: string): Promise<Reachability | undefined> {
    const peers = this.listLinked(new Set()).slice(0, PROBING_PEERS);
    const replies = await Promise.all(peers.map((peer) => this.#probes.ask(peer, address)));
    const counted = replies.flatMap((reply) =>
      reply && (reply.reachability === Reachability.Open || reply.reachesOthers !== false)
        ? reply.reachability
        : [],
    );
    return counted.find((result) => result === Reachability.Open) ?? counted[0];
  }

  /**
   * Lists linked peers that may reach the backend servers, in random order. Those of other zones go
   * first, since the hosts of a zone often lose their links together.
   *
   * @param excluded - incarnations of peers that are left out
   * @returns their incarnations
   */
  listLinked(excluded: ReadonlySet<string>): string[] {
    const { peers, random, availabilityZone } = this.#options;
    const linked = new Set(peers.listLinkedPeers().map(({ incarnation }) => incarnation));
    return this.listCandidates()
      .filter(({ identity: { incarnation } }) => linked.has(incarnation))
      .filter(({ identity: { incarnation } }) => !excluded.has(incarnation))
      .map(({ identity }) => ({
        id: identity.incarnation,
        order: random.nextFraction() + (identity.availabilityZone === availabilityZone ? 1 : 0),
      }))
      .sort((a, b) => a.order - b.order)
      .map(({ id }) => id);
  }

  /**
   * @param excluded - incarnations of peers that are left out
   * @param address - address of a server
   * @returns linked peers, those last that could not connect to the server a moment ago
   */
  listLinkedFor(excluded: ReadonlySet<string>, address: string): string[] {
    return this.#reach.sort(this.listLinked(excluded), address);
  }

  /** @returns peers that may reach the backend servers, linked or not */
  listCandidates(): readonly HostState[] {
    const lostSinceMs = this.#options.clock.nowMs() - LOST_PEER_MS;
    return this.#options
      .listHeard()
      .filter(mayProxy)
      .filter(({ identity }) => !(Number(this.#lostAtMs.get(identity.incarnation)) > lostSinceMs));
  }

  /** @returns peers without a link that have requests of this host in flight */
  listSuspended(): readonly HostState[] {
    const suspended = new Set(this.#exchanges.listSuspended());
    return this.#options
      .listHeard()
      .filter(({ identity: { incarnation } }) => suspended.has(incarnation));
  }

  /**
   * @param asked - incarnations of peers
   * @returns whether there are other peers that may reach the backend servers, linked or not
   */
  hasPeersBeyond(asked: ReadonlySet<string>): boolean {
    return this.listCandidates().some(({ identity }) => !asked.has(identity.incarnation));
  }
}
