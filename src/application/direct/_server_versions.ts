/**
 * Software versions of the backend servers, as far as this entry host can be sure of them.
 *
 * @module
 */
import type { ServerDirectory } from '../../domain/backend_servers/mod.js';
import { VersionHistory } from '../../domain/streams/mod.js';
import type { SoftwareVersion } from '../../domain/streams/mod.js';

/**
 * Age of the view of the store, in milliseconds, from which on entries name no versions. A server may
 * have returned under its ID and address with other software. Reads confirm the view more often.
 */
const MAX_VERSION_AGE_MS = 3_000;

/** Options of {@link ServerVersions}. */
export interface ServerVersionsOptions {
  /** @returns time since the state of the store was confirmed, in milliseconds */
  readonly computeAgeMs: () => number;
}

/** Finds versions of the servers in a directory. */
export class ServerVersions {
  readonly history = new VersionHistory();

  readonly #directory: ServerDirectory;

  readonly #computeAgeMs: () => number;

  /**
   * @param directory - the servers
   * @param options - age of the view
   */
  constructor(directory: ServerDirectory, { computeAgeMs }: ServerVersionsOptions) {
    this.#directory = directory;
    this.#computeAgeMs = computeAgeMs;
  }

  /**
   * @param id - a server incarnation
   * @returns the software that it runs; undefined if its entry names none, or may be out of date
   */
  find(id: string): SoftwareVersion | undefined {
    const isCurrent = this.#computeAgeMs() < MAX_VERSION_AGE_MS;
    return isCurrent ? this.#directory.find(id)?.softwareVersion : undefined;
  }

  /**
   * @param serviceId - a service
   * @param fromMs - a time on the monotonic clock, in milliseconds
   * @returns the version that all its servers have run since; undefined if that isn't sure
   */
  findOnly(serviceId: string, fromMs: number): SoftwareVersion | undefined {
    return this.history.findOnlyVersion(serviceId, fromMs, this.#directory.list());
  }
}
