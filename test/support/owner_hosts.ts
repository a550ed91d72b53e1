/**
 * Several entry hosts that handle requests in one process, on one virtual clock: real owners,
 * ledgers, forwarding and gateways, over fakes of all other components.
 *
 * @module
 */
import { CrashQuarantine, MeshCrashPaths } from '../../src/application/crashes/mod.js';
import { OwnerService } from '../../src/application/owner/mod.js';
import {
  CallerGateway,
  ForwardedCalls,
  RequestIdIssuer,
  OwnedCalls,
} from '../../src/application/entry_host/mod.js';
import { ForwardClient, ForwardServer } from '../../src/application/forwarding/mod.js';
import { ConfigurationView, MembershipView } from '../../src/application/views/mod.js';
import type { ConfigurationStatus, Slot, SlotRequest } from '../../src/application/views/mod.js';
import { ServiceKind } from '../../src/domain/contracts/types.js';
import type {
  AccountContract,
  BackendServer,
  EngineKind,
  Service,
  WorkKind,
} from '../../src/domain/contracts/types.js';
import { ErrorKind, SchedulerError } from '../../src/domain/errors/mod.js';
import { PeerState } from '../../src/domain/membership/types.js';
import type { EntryHostIdentity, EntryHostView } from '../../src/domain/membership/types.js';
import { Tier } from '../../src/domain/scheduling/mod.js';
import type { BackendServerClient } from '../../src/ports/mod.js';
import { FakeProbe } from './direct_ends.js';
import { FakeBackendClient } from './fake_backend.js';
import type { FakeBackend } from './fake_backend.js';
import { FakePeerNetwork } from './fake_peer_network.js';
import type { FakePeerHub } from './fake_peer_network.js';
import { FakeLog, FakeMetrics, FakeTracer, SeededRandom } from './fakes.js';
import { GatedClock, ProcessGate } from './process_gate.js';
import type { VirtualClock } from './virtual_clock.js';

const CLUSTER_KEY = Buffer.alloc(32, 3);
/** Maximum number of request records that an owner keeps. */
export const MAX_RECORDS = 40;
const GRANT_VALID_MS = 2000;
const REFRESH_DELAY_MS = 50;
export const REQUEST_ID_LIFETIME_MS = 5000;

/** Address of the only backend server. */
export const SERVER_ADDRESS = 'server-1.test:80';

const SERVER: BackendServer = {
  id: 'server-1',
  serviceId: 'desk',
  url: 'http://server-1.test',
  engineKind: 'fast',
  availabilityZone: 'hall-a',
};

const SERVICE: Service = {
  id: 'desk',
  kind: ServiceKind.Plain,
  models: [],
  honoursContinue: true,
  checksOrders: true,
  dispatchGroupSize: 16,
  backendServers: [SERVER],
};

function buildWork(kind: string, repeatable: boolean): WorkKind {
  return {
    kind,
    serviceId: 'desk',
    tier: Tier.Urgent,
    repeatable,
    deadlineMs: 3000,
    expectedOutputTokens: 10,
    methods: [],
    pathPrefixes: [],
  };
}

/** The only client account: its `notice` calls must not be repeated, its `lookup` calls may be. */
export const ACCOUNT: AccountContract = {
  accountId: 'franchise-a',
  keyHashes: [],
  weight: 1,
  limits: { requestsPerSecond: 1000, tokensPerSecond: 1e6, inFlight: 1000 },
  longestDeadlineMs: 60_000,
  work: [buildWork('notice', false), buildWork('lookup', true)],
};

/** A configuration view with one service and {@link ACCOUNT}. */
export class FixedConfiguration extends ConfigurationView {
  override getStatus(): ConfigurationStatus {
    throw new Error('not used');
  }

  override findAccountByKeyHash = (): AccountContract => ACCOUNT;

  override findAccount = (): AccountContract => ACCOUNT;

  override listAccounts = (): readonly AccountContract[] => [ACCOUNT];

  override listServices = (): readonly Service[] => [SERVICE];

  override findService = (id: string): Service | undefined => (id === 'desk' ? SERVICE : undefined);

  override findServiceByModel = (): Service | undefined => undefined;

  override findBackendServer = (id: string): BackendServer | undefined =>
    id === SERVER.id ? SERVER : undefined;

  override findEngineKind = (): EngineKind | undefined => undefined;

  override onChange = (): void => undefined;
}

/** A membership view in which the newest incarnation of each entry host is live. */
class FixedMembership extends MembershipView {
  constructor(
    readonly self: EntryHostIdentity,
    readonly allHosts: readonly OwnerHost[],
    readonly clock: VirtualClock,
    readonly gate: ProcessGate,
  ) {
    super();
  }

  /** Time from which on the view counts as fresh. */
  #freshFromMs = 0;

  override listEntryHosts(): readonly EntryHostView[] {
    const newest = new Map(this.allHosts.map((host) => [host.identity.id, host.identity]));
    return [...newest.values()].map((identity) => ({
      identity,
      state: PeerState.Live,
      silentMs: 0,
    }));
  }

  override listKnownIds = (): readonly string[] =>
    this.listEntryHosts().map((view) => view.identity.id);

  override findIncarnation = (incarnation: string): EntryHostView | undefined =>
    this.listEntryHosts().find((view) => view.identity.incarnation === incarnation);

  override findEntryHost = (id: string): EntryHostView | undefined =>
    this.listEntryHosts().find((view) => view.identity.id === id);

  override pickResponsible = (): EntryHostIdentity => this.self;

  override isBackendServerLeaving = (): boolean => false;

  /** Returns false for a while after a freeze, until a peer would have answered. */
  override isFresh(): boolean {
    if (this.gate.hasBeenFrozen) {
      this.gate.hasBeenFrozen = false;
      this.#freshFromMs = this.clock.nowMs() + REFRESH_DELAY_MS;
    }
    return this.clock.nowMs() >= this.#freshFromMs;
  }

  override isStopping = (): boolean => false;

  override onChange = (): void => undefined;
}

/** One incarnation of an entry host. */
export class OwnerHost {
  readonly gate = new ProcessGate();

  readonly network: FakePeerNetwork;

  readonly gateway: CallerGateway;

  readonly owner: OwnerService;

  readonly crashes: CrashQuarantine;

  readonly #forwardServer: ForwardServer;

  /**
   * @param identity - identity of the incarnation
   * @param world - objects that all hosts share
   */
  constructor(
    readonly identity: EntryHostIdentity,
    readonly world: OwnerWorld,
  ) {
    const clock = new GatedClock(world.clock, this.gate);
    this.network = new FakePeerNetwork(world.hub, identity);
    const receive = this.network.receive.bind(this.network);
    this.network.receive = (from, message) => this.gate.run(() => receive(from, message));
    const shared = {
      clock,
      log: new FakeLog(),
      metrics: new FakeMetrics(),
      tracer: new FakeTracer(),
      random: new SeededRandom(world.hosts.length + 1),
      peers: this.network,
      configuration: new FixedConfiguration(),
      membership: new FixedMembership(identity, world.hosts, world.clock, this.gate),
      backend: world.client ?? new FakeBackendClient(world.backend, this.gate),
      allowances: { admit: () => ({ release: () => undefined }) },
      slots: { acquire: (slotRequest: SlotRequest) => grantSlot(clock, slotRequest) },
    };
    this.crashes = new CrashQuarantine({
      ...shared,
      probe: world.probe ?? new FakeProbe(),
      paths: new MeshCrashPaths({
        ...shared,
        selfId: identity.id,
        findAddress: () => SERVER_ADDRESS,
      }),
    });
    this.owner = new OwnerService({
      ...shared,
      crashes: this.crashes,
      answerBytes: 1_000_000,
      answerKeepMs: 60_000,
      maxRecords: MAX_RECORDS,
    });
    const issuer = new RequestIdIssuer({
      ...shared,
      clusterKey: CLUSTER_KEY,
      requestIdLifetimeMs: REQUEST_ID_LIFETIME_MS,
      keepAddressMs: 1000,
    });
    const calls = new OwnedCalls({ ...shared, owner: this.owner });
    const forwarded = new ForwardedCalls({ ...shared, issuer, calls, owner: this.owner });
    this.#forwardServer = new ForwardServer({
      peers: this.network,
      handler: (call, disconnectSignal) => forwarded.handle(call, disconnectSignal),
    });
    const forwardClient = new ForwardClient(shared);
    this.gateway = new CallerGateway({
      ...shared,
      issuer,
      owner: this.owner,
      calls,
      forwardClient,
    });
  }

  /** Starts the host and adds it to the others. */
  start(): void {
    this.world.hosts.push(this);
    this.#forwardServer.start();
    this.owner.start();
    this.crashes.start();
  }

  /** Kills the host, as SIGKILL does; its peers see that their links close. */
  kill(): void {
    this.gate.kill();
    this.owner.stop();
    this.crashes.stop();
    this.network.close().catch(() => undefined);
  }
}

/** Objects that all hosts of a test share. */
export interface OwnerWorld {
  readonly clock: VirtualClock;
  readonly hub: FakePeerHub;
  readonly backend: FakeBackend;
  /** Calls backend servers for all hosts; by default each host has a client of the fake one. */
  readonly client?: BackendServerClient;
  /** Probe of backend servers; by default every address accepts connections. */
  readonly probe?: FakeProbe;
  /** All incarnations that were started, oldest first. */
  readonly hosts: OwnerHost[];
}

async function grantSlot(clock: GatedClock, slotRequest: SlotRequest): Promise<Slot> {
  await new Promise<void>((resolve) => {
    clock.setTimer(1, resolve);
  });
  if (slotRequest.signal.aborted) throw new SchedulerError(ErrorKind.Cancelled);
  return {
    backendServer: SERVER,
    validUntilMs: clock.nowMs() + GRANT_VALID_MS,
    release: () => undefined,
  };
}
