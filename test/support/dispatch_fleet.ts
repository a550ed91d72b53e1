/**
 * Several entry hosts in one process, for tests of the dispatcher.
 *
 * @module
 */
import type { BackendServer, Service } from '../../src/domain/contracts/types.js';
import { pickByRendezvous } from '../../src/domain/membership/mod.js';
import type { EntryHostIdentity, PeerState } from '../../src/domain/membership/mod.js';
import { createStrategy, StrategyName, Tier } from '../../src/domain/scheduling/mod.js';
import type { SchedulingStrategy } from '../../src/domain/scheduling/mod.js';
import { BackendCallError, BackendCallStage, BackendServerClient } from '../../src/ports/mod.js';
import type { BackendLoad, CacheEvent } from '../../src/ports/mod.js';
import { FakeLog, FakeMetrics, FakeTracer, SeededRandom } from './fakes.js';
import { buildIdentity, FakePeerHub, FakePeerNetwork } from './fake_peer_network.js';
import { VirtualClock } from './virtual_clock.js';
import type { SlotRequest } from '../../src/application/views/mod.js';
import { buildService, FakeConfiguration, FakeMembership, SERVICE_ID } from './fake_views.js';
import { DispatcherService, SlotClient } from '../../src/application/dispatcher/mod.js';

/** A backend client that serves configured load reports and cache events, but runs no calls. */
export class FakeReportClient extends BackendServerClient {
  readonly loads = new Map<string, BackendLoad>();

  readonly events = new Map<string, readonly CacheEvent[]>();

  /** IDs of backend servers whose load was read, in order. */
  readonly reads: string[] = [];

  override dispatch = (): never => {
    throw new Error('Cannot dispatch: the fixture has no engines');
  };

  override resume = (): never => {
    throw new Error('Cannot resume: the fixture has no engines');
  };

  override cancel = async (): Promise<void> => undefined;

  override readLoad = async ({ id }: BackendServer): Promise<BackendLoad> => {
    this.reads.push(id);
    const load = this.loads.get(id);
    if (load) return load;
    throw new BackendCallError(BackendCallStage.BeforeHandOver, 'Cannot read the load: no report');
  };

  override readCacheEvents = async (
    { id }: BackendServer,
    after: number,
  ): Promise<readonly CacheEvent[]> =>
    (this.events.get(id) ?? []).filter(({ sequence }) => sequence > after);
}

/** The dispatcher and the slot client of one entry host, with their collaborators. */
export interface FixtureHost {
  readonly identity: EntryHostIdentity;
  readonly membership: FakeMembership;
  readonly peers: FakePeerNetwork;
  readonly dispatcher: DispatcherService;
  readonly slots: SlotClient;
}

/** An ordered list of at least two hosts. */
export type OrderedHosts = readonly [FixtureHost, FixtureHost, ...FixtureHost[]];

/** Records the result of a promise. @returns an object that holds the result once it is settled */
export function trackPromise<T>(promise: Promise<T>): { value?: T; error?: unknown } {
  const result: { value?: T; error?: unknown } = {};
  promise.then(
    (value) => {
      result.value = value;
    },
    (error: unknown) => {
      result.error = error;
    },
  );
  return result;
}

/** Options of {@link DispatchFleet}. */
export interface FixtureOptions {
  readonly hostIds?: readonly string[];
  readonly service?: Service;
  /** Number of slots of each backend server. */
  readonly slots?: number;
  readonly strategy?: SchedulingStrategy;
}

/** Entry hosts that share a clock, a configuration and a peer hub. */
export class DispatchFleet {
  readonly clock = new VirtualClock();

  readonly hub = new FakePeerHub();

  readonly backend = new FakeReportClient();

  readonly configuration: FakeConfiguration;

  readonly hosts: OrderedHosts;

  readonly metrics = new FakeMetrics();

  constructor(options: FixtureOptions = {}) {
    this.configuration = new FakeConfiguration(
      options.service ?? buildService(1),
      options.slots ?? 2,
    );
    const identities = (options.hostIds ?? ['a', 'b', 'c']).map((id) => buildIdentity(id));
    const strategy =
      options.strategy ?? createStrategy(StrategyName.Dispatcher, { reserveFraction: 0 });
    this.hosts = identities.map((identity) =>
      this.#startHost(identity, identities, strategy),
    ) as unknown as OrderedHosts;
  }

  /** @returns the hosts in the order in which they become responsible for a group as hosts fail */
  sortByResponsibility(groupId = `${SERVICE_ID}/0`): OrderedHosts {
    const remaining = [...this.hosts];
    const sorted: FixtureHost[] = [];
    while (remaining.length > 0) {
      const picked = pickByRendezvous(
        groupId,
        remaining.map(({ identity }) => identity.incarnation),
      );
      const index = remaining.findIndex(({ identity }) => identity.incarnation === picked);
      sorted.push(...remaining.splice(index, 1));
    }
    return sorted as unknown as OrderedHosts;
  }

  /** Sets the state of a host in the membership views of all other hosts. */
  setState(host: FixtureHost, state: PeerState): void {
    this.hosts
      .filter((other) => other !== host)
      .forEach(({ membership }) => {
        membership.states.set(host.identity.incarnation, state);
        membership.notify();
      });
  }

  /** Stops a host as SIGKILL does: its links close, and its timers no longer fire. */
  kill(host: FixtureHost): void {
    host.dispatcher.stop();
    host.peers.close().catch(() => undefined);
  }

  /** Builds a slot request with a deadline one minute ahead. */
  buildSlotRequest(changes: Partial<SlotRequest> = {}): SlotRequest {
    return {
      requestId: 'request-1',
      serviceId: SERVICE_ID,
      accountId: 'firm-a',
      weight: 1,
      tier: Tier.Standard,
      deadlineAtMs: this.clock.nowMs() + 60_000,
      promptTokens: 100,
      expectedOutputTokens: 50,
      blockHashes: [],
      excluded: [],
      traceparent: undefined,
      signal: new AbortController().signal,
      ...changes,
    };
  }

  #startHost(
    identity: EntryHostIdentity,
    identities: EntryHostIdentity[],
    strategy: SchedulingStrategy,
  ): FixtureHost {
    const membership = new FakeMembership(identity, identities);
    const peers = new FakePeerNetwork(this.hub, identity);
    const options = {
      clock: this.clock,
      random: new SeededRandom(42),
      log: new FakeLog(),
      metrics: this.metrics,
      tracer: new FakeTracer(),
      configuration: this.configuration,
      membership,
      peers,
      backend: this.backend,
      strategy,
    };
    const dispatcher = new DispatcherService(options);
    const slots = new SlotClient({ ...options, dispatcher });
    dispatcher.start();
    return { identity, membership, peers, dispatcher, slots };
  }
}
