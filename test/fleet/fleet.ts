/**
 * A running fleet of test processes, with access to each process and to fault injection.
 *
 * @module
 */
import type { RunRecord } from '../../standin/mod.js';
import { sendJsonControl } from './_control.js';
import type { ProcessReaper } from './_process_reaper.js';
import { LinkFault } from './cut_proxy.js';
import { buildApiKey } from './documents.js';
import type { ClientAccount, ContractDocument } from './documents.js';
import type { ResolvedFleetOptions } from './fleet_options.js';
import type { BackendServer, EntryHost, PlatformProcess } from './fleet_process.js';
import type { HostEntry } from './operator.js';
import type { PortReservation } from './port_reservation.js';

/** A fault to inject into a stand-in backend server. */
export interface BackendFault {
  readonly kind: 'none' | 'slow' | 'silent' | 'refuse' | 'die-midway' | 'no-continue';
  readonly factor?: number;
  readonly oldConnectionsOnly?: boolean;
}

/** The processes and resources of a fleet. */
export interface FleetParts {
  readonly options: ResolvedFleetOptions;
  readonly reaper: ProcessReaper;
  readonly ports: PortReservation;
  readonly configuration: PlatformProcess;
  readonly hostList: PlatformProcess;
  readonly engines: readonly BackendServer[];
  readonly plainServers: readonly BackendServer[];
  readonly entryHosts: readonly EntryHost[];
}

/** A fleet of entry hosts and stand-ins, each in its own process, and proxies in this process. */
export class Fleet {
  readonly accounts: readonly ClientAccount[];

  /** @param parts - processes and resources of the fleet */
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

  /** All backend servers: engines and plain servers. */
  get backendServers(): readonly BackendServer[] {
    return [...this.parts.engines, ...this.parts.plainServers];
  }

  /** Process of the configuration service. */
  get configuration(): PlatformProcess {
    return this.parts.configuration;
  }

  /** Process of the host list. */
  get hostList(): PlatformProcess {
    return this.parts.hostList;
  }

  /** @returns all runs that the backend servers recorded, including those of killed servers */
  async readRuns(): Promise<RunRecord[]> {
    const lists = await Promise.all(this.backendServers.map((server) => server.readRuns()));
    return lists.flat();
  }

  /**
   * Injects a fault into a backend server, or ends it.
   *
   * @param backendServerId - ID of the server, such as `engine-1` or `plain-1`
   * @param fault - the new fault
   */
  async setFault(backendServerId: string, fault: BackendFault): Promise<void> {
    const { url } = this.findBackendServer(backendServerId);
    const body = JSON.stringify(fault);
    await sendJsonControl(`${url}/_standin/faults`, { method: 'POST', body });
  }

  /**
   * Finds a backend server by its ID.
   *
   * @param id - ID of the server
   * @returns the server
   * @throws Error if there is none
   */
  findBackendServer(id: string): BackendServer {
    const server = this.backendServers.find((each) => each.id === id);
    if (!server) throw new Error(`Cannot find backend server "${id}"`);
    return server;
  }

  /**
   * Finds an entry host by its ID.
   *
   * @param id - ID of the entry host
   * @returns the entry host
   * @throws Error if there is none
   */
  findEntryHost(id: string): EntryHost {
    const host = this.entryHosts.find((each) => each.id === id);
    if (!host) throw new Error(`Cannot find entry host "${id}"`);
    return host;
  }

  /** Publishes a contract. @param document - the contract. @returns index of the write */
  publishContract(document: ContractDocument): Promise<number> {
    return this.configuration.operator.publishContract(document);
  }

  /** Removes a host from the host list. @param id - ID of the host. @returns index of the write */
  removeHost(id: string): Promise<number> {
    return this.hostList.operator.remove(`hosts/${id}`);
  }

  /**
   * Sets the state of a host in the host list.
   *
   * @param id - ID of an entry host or a backend server
   * @param state - the new state
   * @returns index of the write
   */
  setHostState(id: string, state: HostEntry['state']): Promise<number> {
    const host = [...this.entryHosts, ...this.backendServers].find((each) => each.id === id);
    if (!host) throw new Error(`Cannot find host "${id}"`);
    return this.hostList.operator.publishHost({ ...host.listed, state });
  }

  /**
   * Partitions the entry hosts into groups. Links between groups have the given fault, links
   * within a group work. Requires the option `proxied: { peers: true }`.
   *
   * @param groups - entry host IDs of each group
   * @param fault - fault of links between groups; by default bytes are held and arrive when the
   *   partition ends
   */
  partitionEntryHosts(groups: readonly (readonly string[])[], fault = LinkFault.Held): void {
    this.entryHosts.forEach((host) => {
      const group = groups.find((each) => each.includes(host.id)) ?? [];
      const others = this.entryHosts.map((each) => each.id).filter((id) => !group.includes(id));
      if (!host.proxy) throw new Error('Cannot partition entry hosts without peer proxies');
      host.proxy.setFault(fault, new Set(others));
    });
  }

  /** Ends all faults of the links between entry hosts. */
  healPartition(): void {
    this.entryHosts.forEach((host) => host.proxy?.setFault(LinkFault.None));
  }

  /** Stops all processes and proxies of the fleet. */
  async stop(): Promise<void> {
    const { parts } = this;
    const processes = [
      ...parts.entryHosts,
      ...this.backendServers,
      parts.configuration,
      parts.hostList,
    ];
    processes.forEach((each) => each.kill('SIGKILL'));
    await Promise.all(processes.map((each) => each.waitForExit()));
    await Promise.all(processes.map((each) => each.proxy?.close()));
    await parts.reaper.close();
    await parts.ports.close();
  }
}
