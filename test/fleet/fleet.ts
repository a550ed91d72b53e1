/**
 * A running fleet.
 *
 * @module
 */
import type { RunRecord } from '../../standin/mod.js';
import { sendJsonControl } from './_control.js';
import type { Guardian } from './_guardian.js';
import { LinkFault } from './cut_proxy.js';
import { buildApiKey } from './documents.js';
import type { ClientAccount, ContractDocument } from './documents.js';
import type { FilledFleetOptions } from './fleet_options.js';
import type { BackendServer, EntryHost, PlatformProcess } from './fleet_process.js';
import type { HostEntry } from './operator.js';
import type { PortReservation } from './port_reservation.js';

/** A fault of a backend server's stand-in. */
export interface BackendFault {
  readonly kind: 'none' | 'slow' | 'silent' | 'refuse' | 'die-midway' | 'no-continue';
  readonly factor?: number;
  readonly oldConnectionsOnly?: boolean;
}

/** The parts of a fleet, as its start made them. */
export interface FleetParts {
  readonly options: FilledFleetOptions;
  readonly guardian: Guardian;
  readonly ports: PortReservation;
  readonly configuration: PlatformProcess;
  readonly hostList: PlatformProcess;
  readonly engines: readonly BackendServer[];
  readonly plainServers: readonly BackendServer[];
  readonly entryHosts: readonly EntryHost[];
}

/** Entry hosts, stand-ins and proxies, each process its own. */
export class Fleet {
  readonly accounts: readonly ClientAccount[];

  /** @param parts - what it is made of */
  constructor(readonly parts: FleetParts) {
    this.accounts = parts.options.shape.contracts.map(({ account }) => ({
      id: account,
      apiKey: buildApiKey(account),
    }));
  }

  /** All entry hosts. */
  get entryHosts(): readonly EntryHost[] {
    return this.parts.entryHosts;
  }

  /** All engines and plain servers. */
  get backendServers(): readonly BackendServer[] {
    return [...this.parts.engines, ...this.parts.plainServers];
  }

  /** The configuration service. */
  get configuration(): PlatformProcess {
    return this.parts.configuration;
  }

  /** The host list. */
  get hostList(): PlatformProcess {
    return this.parts.hostList;
  }

  /** @returns every run that the backend servers recorded, those of killed ones too */
  async readRuns(): Promise<RunRecord[]> {
    const lists = await Promise.all(this.backendServers.map((server) => server.readRuns()));
    return lists.flat();
  }

  /**
   * Switches a fault on or off in a backend server.
   *
   * @param backendServerId - such as `engine-1` or `plain-1`
   * @param fault - what is wrong from now on
   */
  async setFault(backendServerId: string, fault: BackendFault): Promise<void> {
    const { url } = this.findBackendServer(backendServerId);
    const body = JSON.stringify(fault);
    await sendJsonControl(`${url}/_standin/faults`, { method: 'POST', body });
  }

  /**
   * Finds a backend server.
   *
   * @param id - its ID
   * @returns it
   * @throws Error when there is none
   */
  findBackendServer(id: string): BackendServer {
    const server = this.backendServers.find((each) => each.id === id);
    if (!server) throw new Error(`Cannot find backend server "${id}"`);
    return server;
  }

  /**
   * Finds an entry host.
   *
   * @param id - its ID
   * @returns it
   * @throws Error when there is none
   */
  findEntryHost(id: string): EntryHost {
    const host = this.entryHosts.find((each) => each.id === id);
    if (!host) throw new Error(`Cannot find entry host "${id}"`);
    return host;
  }

  /** @param document - a contract to be published. @returns the write's index */
  publishContract(document: ContractDocument): Promise<number> {
    return this.configuration.operator.publishContract(document);
  }

  /** @param id - a host that the host list forgets. @returns the write's index */
  removeHost(id: string): Promise<number> {
    return this.hostList.operator.remove(`hosts/${id}`);
  }

  /**
   * Lists a host as live or leaving.
   *
   * @param id - an entry host or a backend server
   * @param state - what the host list says from now on
   * @returns the write's index
   */
  setHostState(id: string, state: HostEntry['state']): Promise<number> {
    const host = [...this.entryHosts, ...this.backendServers].find((each) => each.id === id);
    if (!host) throw new Error(`Cannot find host "${id}"`);
    return this.hostList.operator.publishHost({ ...host.listed, state });
  }

  /**
   * Splits the entry hosts: between groups nothing passes any more, inside a
   * group everything does. It needs `proxied: { peers: true }`.
   *
   * @param groups - entry host IDs by group
   * @param fault - what happens to bytes between groups; by default they are
   *   held, and arrive late when the split ends
   */
  splitEntryHosts(groups: readonly (readonly string[])[], fault = LinkFault.Held): void {
    this.entryHosts.forEach((host) => {
      const group = groups.find((each) => each.includes(host.id)) ?? [];
      const others = this.entryHosts.map((each) => each.id).filter((id) => !group.includes(id));
      if (!host.proxy) throw new Error('Cannot split entry hosts: no proxies were asked for');
      host.proxy.setFault(fault, new Set(others));
    });
  }

  /** Ends every fault between entry hosts. */
  mergeEntryHosts(): void {
    this.entryHosts.forEach((host) => host.proxy?.setFault(LinkFault.None));
  }

  /** Ends every process and proxy that the fleet started. */
  async stop(): Promise<void> {
    const { parts } = this;
    const processes = [
      ...parts.entryHosts,
      ...this.backendServers,
      parts.configuration,
      parts.hostList,
    ];
    processes.forEach((each) => each.kill('SIGKILL'));
    await Promise.all(processes.map((each) => each.waitExit()));
    await Promise.all(processes.map((each) => each.proxy?.close()));
    await parts.guardian.close();
    await parts.ports.close();
  }
}
