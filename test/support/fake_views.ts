/**
 * Fakes of the configuration view and the membership view for tests of the dispatcher.
 *
 * @module
 */
import type { BackendServer, EngineKind, Service } from '../../src/domain/contracts/types.js';
import { ServiceKind } from '../../src/domain/contracts/types.js';
import { PeerState, pickByRendezvous } from '../../src/domain/membership/mod.js';
import type { EntryHostIdentity, EntryHostView } from '../../src/domain/membership/mod.js';
import { ConfigurationView, MembershipView } from '../../src/application/views/mod.js';

/** ID of the only service. */
export const SERVICE_ID = 'monsoon-llm';

/** Builds a service with a number of backend servers, named `engine-1`, `engine-2`, and so on. */
export function buildService(serverCount: number, dispatchGroupSize = 16): Service {
  const backendServers = Array.from({ length: serverCount }, (_, index): BackendServer => ({
    id: `engine-${index + 1}`,
    serviceId: SERVICE_ID,
    url: `http://127.0.0.1:${9000 + index}`,
    engineKind: 'fast',
    availabilityZone: 'hall-a',
  }));
  return {
    id: SERVICE_ID,
    kind: ServiceKind.Model,
    models: ['monsoon-draft'],
    honoursContinue: true,
    checksOrders: true,
    dispatchGroupSize,
    backendServers,
  };
}

/** A configuration view with one service. */
export class FakeConfiguration extends ConfigurationView {
  readonly engineKind: EngineKind;

  readonly #handlers: (() => void)[] = [];

  constructor(
    public service: Service,
    slots: number,
  ) {
    super();
    this.engineKind = {
      id: 'fast',
      prefillTokensPerSecond: 8_000,
      decodeTokensPerSecond: 50,
      slots,
    };
  }

  /** Replaces the service and notifies the listeners. */
  replaceService(service: Service): void {
    this.service = service;
    this.#handlers.forEach((handler) => handler());
  }

  override getStatus = (): never => {
    throw new Error('Cannot give a status: the fixture has none');
  };

  override findAccountByKeyHash = (): undefined => undefined;

  override findAccount = (): undefined => undefined;

  override listAccounts = (): readonly [] => [];

  override listServices = (): readonly Service[] => [this.service];

  override findService = (id: string): Service | undefined =>
    id === this.service.id ? this.service : undefined;

  override findServiceByModel = (): Service => this.service;

  override findBackendServer = (id: string): BackendServer | undefined =>
    this.service.backendServers.find((server) => server.id === id);

  override findEngineKind = (): EngineKind => this.engineKind;

  override onChange(handler: () => void): void {
    this.#handlers.push(handler);
  }
}

/** The membership view of one entry host, whose peer states a test sets. */
export class FakeMembership extends MembershipView {
  /** State of each peer by incarnation; peers without an entry are live. */
  readonly states = new Map<string, PeerState>();

  readonly leavingBackendServers = new Set<string>();

  fresh = true;

  readonly #handlers: (() => void)[] = [];

  constructor(
    override readonly self: EntryHostIdentity,
    readonly identities: EntryHostIdentity[],
  ) {
    super();
  }

  /** Notifies the listeners of a change. */
  notify(): void {
    this.#handlers.forEach((handler) => handler());
  }

  override listEntryHosts = (): readonly EntryHostView[] =>
    this.identities.flatMap((identity) => this.findIncarnation(identity.incarnation) ?? []);

  override listKnownIds = (): readonly string[] => this.identities.map(({ id }) => id);

  override findIncarnation = (incarnation: string): EntryHostView | undefined => {
    const identity = this.identities.find((other) => other.incarnation === incarnation);
    if (!identity) return undefined;
    return { identity, state: this.states.get(incarnation) ?? PeerState.Live, silentMs: 0 };
  };

  override findEntryHost = (id: string): EntryHostView | undefined =>
    this.listEntryHosts().find(({ identity }) => identity.id === id);

  override pickResponsible = (key: string): EntryHostIdentity => {
    const live = this.listEntryHosts().filter(({ state }) => state === PeerState.Live);
    const picked = pickByRendezvous(
      key,
      live.map(({ identity }) => identity.incarnation),
    );
    return live.find(({ identity }) => identity.incarnation === picked)?.identity ?? this.self;
  };

  override isBackendServerLeaving = (id: string): boolean => this.leavingBackendServers.has(id);

  override isFresh = (): boolean => this.fresh;

  override isStopping = (): boolean => false;

  override onChange(handler: () => void): void {
    this.#handlers.push(handler);
  }
}
