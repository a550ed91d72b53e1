/**
 * Routes crash notes between entry hosts that serve calls directly.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { CrashPaths } from '../crashes/mod.js';
import type { HostReports } from './host_reports.js';
import type { ServerRegistry } from './server_registry.js';

/**
 * Routes crash notes along the same links as the load reports. An incarnation ends only once,
 * so its ID also identifies its crash.
 */
export class DirectCrashPaths extends CrashPaths {
  readonly #reports: HostReports;

  readonly #servers: ServerRegistry;

  /**
   * @param reports - provide the known entry hosts and the links between them
   * @param servers - provide the addresses of the usable backend servers
   */
  constructor(reports: HostReports, servers: ServerRegistry) {
    super();
    this.#reports = reports;
    this.#servers = servers;
  }

  override get selfId(): string {
    return this.#reports.self.identity.id;
  }

  override listHostIds(): readonly string[] {
    const serving = this.#reports.listHeard().filter(({ isServing }) => isServing);
    return serving.map(({ identity }) => identity.id);
  }

  override listTargets(): readonly EntryHostIdentity[] {
    return this.#reports.listTargets();
  }

  override listForwardTargets(from: EntryHostIdentity): readonly EntryHostIdentity[] {
    return this.#reports.listForwardTargets(from);
  }

  override createCrashId(serverId: string): string {
    return serverId;
  }

  /** Returns an address only on relays: in a large fleet, they probe on behalf of all members. */
  override findAddress(serverId: string): string | undefined {
    if (!this.#reports.isRelay || !this.#servers.isUsable(serverId)) return undefined;
    return this.#servers.findEntry(serverId)?.address;
  }

  override readServerId(crashId: string): string {
    return crashId;
  }
}
