/**
 * Paths of crash notes along the links of the reports, for hosts over fakes.
 *
 * @module
 */
import { CrashPaths } from '../../src/application/crashes/mod.js';
import { DirectCrashPaths } from '../../src/application/direct/mod.js';
import type { HostReports, ServerRegistry } from '../../src/application/direct/mod.js';
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';

/** Paths of a host whose exchange of reports is created after its crash quarantine. */
export class ReportCrashPaths extends CrashPaths {
  readonly #getReports: () => HostReports;

  readonly #servers: ServerRegistry;

  /**
   * @param getReports - gives the exchange of reports, once it exists
   * @param servers - provide the addresses of the usable backend servers
   */
  constructor(getReports: () => HostReports, servers: ServerRegistry) {
    super();
    this.#getReports = getReports;
    this.#servers = servers;
  }

  get #paths(): DirectCrashPaths {
    return new DirectCrashPaths(this.#getReports(), this.#servers);
  }

  override get selfId(): string {
    return this.#paths.selfId;
  }

  override listHostIds(): readonly string[] {
    return this.#paths.listHostIds();
  }

  override listTargets(): readonly EntryHostIdentity[] {
    return this.#paths.listTargets();
  }

  override listForwardTargets(from: EntryHostIdentity): readonly EntryHostIdentity[] {
    return this.#paths.listForwardTargets(from);
  }

  override createCrashId(serverId: string): string {
    return this.#paths.createCrashId(serverId);
  }

  override findAddress(serverId: string): string | undefined {
    return this.#paths.findAddress(serverId);
  }

  override readServerId(crashId: string): string {
    return this.#paths.readServerId(crashId);
  }
}
