/**
 * All ways from one entry host to the backend servers.
 *
 * @module
 */
import type { HostState } from '../../domain/overlay/mod.js';
import type { ServerPaths } from '../../domain/paths/mod.js';
import type {
  Clock,
  DirectBackendClient,
  EventLog,
  Metrics,
  PeerNetwork,
  RandomSource,
  ServerEvidence,
  ServerProbe,
} from '../../ports/mod.js';
import { ConfirmedProbe } from './confirmed_probe.js';
import { CountedProbe } from './counted_probe.js';
import { OwnReach } from './own_reach.js';
import type { ServerAddress } from './own_reach.js';
import { PathBackendClient } from './path_backend_client.js';
import { PathChecks } from './path_checks.js';
import { ProxyClient } from './proxy_client.js';
import { pickProxyHosts } from './_proxy_hosts.js';
import { ProxyServer } from './proxy_server.js';
import { UnmarkedEnds } from './_unmarked_ends.js';

/** Dependencies of {@link HostPaths}. */
export interface HostPathsOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Availability zone of this entry host. */
  readonly availabilityZone: string;
  /** Probes over this host's own links. */
  readonly probe: ServerProbe;
  /** Sends requests over this host's own links. */
  readonly backend: DirectBackendClient;
  /** What is known of this host's own links. */
  readonly paths: ServerPaths;
  /** @returns peers that are heard, directly or through others */
  readonly listHeard: () => readonly HostState[];
  /** @param id - a server incarnation. @returns false if it must get no work */
  readonly mayReceive: (id: string) => boolean;
  /** @param id - a server incarnation. @returns whether it has asked this host for a pause */
  readonly isPaused: (id: string) => boolean;
  /** @returns servers that get work */
  readonly listServers: () => readonly ServerAddress[];
  /** @param evidence - an answer to a request that was sent for a peer */
  readonly recordNotice: (evidence: ServerEvidence) => void;
}

/** Holds the parts that send requests, for this host's own calls and for peers. */
export class HostPaths {
  /** Sends this host's own requests. */
  readonly client: PathBackendClient;

  /** Probes whose result peers have confirmed. */
  readonly probe: ServerProbe;

  /** Sends this host's requests through peers. */
  readonly proxies: ProxyClient;

  /** Sends requests for peers. */
  readonly server: ProxyServer;

  readonly #checks: PathChecks;

  readonly #availabilityZone: string;

  /** @param options - dependencies */
  constructor(options: HostPathsOptions) {
    this.#availabilityZone = options.availabilityZone;
    const probe = new CountedProbe(options.probe, options.metrics);
    const ownReach = new OwnReach({ ...options, probe });
    this.proxies = new ProxyClient(options);
    this.probe = new ConfirmedProbe(probe, this.proxies);
    const shared = { ...options, probe, ownReach, proxies: this.proxies };
    this.#checks = new PathChecks(shared);
    this.server = new ProxyServer({
      ...shared,
      findIncarnation: (address) =>
        options.listServers().find((server) => server.address === address)?.incarnationId,
      checkServer: (server) => this.#checks.check(server, true),
    });
    this.client = new PathBackendClient({
      ...shared,
      direct: options.backend,
      checks: this.#checks,
      unmarkedEnds: new UnmarkedEnds({ ...options, probe: this.probe }),
    });
  }

  /** @param incarnationId - a server to which a request has opened a connection */
  recordConnected(incarnationId: string): void {
    this.#checks.recordConnected(incarnationId);
  }

  /** Ends all checks that repeat by themselves, and the exchanges of peers. */
  stop(): void {
    this.#checks.stop();
    this.proxies.stop();
    this.server.stop();
  }

  /**
   * Tells whether the link to a peer must stay, although neither host may want it any more.
   *
   * @param incarnation - a linked peer
   * @returns whether requests are in flight through either host, or were a moment ago
   */
  carriesRequests(incarnation: string): boolean {
    return this.proxies.isUsing(incarnation) || this.server.isUsedBy(incarnation);
  }

  /**
   * Lists the peers to keep links to, for checks and for requests that go through them.
   *
   * @param hostId - ID of this entry host
   * @returns the peers; while this host reaches all servers, only those whose link was lost under
   *   requests
   */
  listWantedPeers(hostId: string): readonly HostState[] {
    const suspended = this.proxies.listSuspended();
    if (!this.#checks.needsPeers) return suspended;
    const candidates = this.proxies.listCandidates();
    const picked = pickProxyHosts({ hostId, availabilityZone: this.#availabilityZone, candidates });
    return [...picked, ...suspended.filter((one) => !picked.includes(one))];
  }
}
