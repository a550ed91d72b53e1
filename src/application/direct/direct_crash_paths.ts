/**
 * Word of crashes between entry hosts of calls that bear their own request ID.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { CrashPaths } from '../crashes/mod.js';
import type { HostReports } from './host_reports.js';
import type { ServerKeeper } from './server_keeper.js';

/** It goes the way of the reports. A life ends once, so that its name names its end. */
export class DirectCrashPaths extends CrashPaths {
  readonly #reports: HostReports;

  readonly #servers: ServerKeeper;

  /**
   * @param reports - whose way it goes
   * @param servers - who may be given work
   */
  constructor(reports: HostReports, servers: ServerKeeper) {
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

  override listFurther(from: EntryHostIdentity): readonly EntryHostIdentity[] {
    return this.#reports.listFurther(from);
  }

  override createCrashId(serverId: string): string {
    return serverId;
  }

  /** In a large fleet the relays see for all. */
  override findAddress(serverId: string): string | undefined {
    if (!this.#reports.isRelay || !this.#servers.isUsable(serverId)) return undefined;
    return this.#servers.find(serverId)?.address;
  }

  override readServerId(crashId: string): string {
    return crashId;
  }
}
