/**
 * Remembers which software versions the servers of each service ran of late.
 *
 * @module
 */
import type { SoftwareVersion } from './software_version.js';

/** A server as its registry entry describes it. */
export interface VersionedServer {
  readonly serviceId: string;
  readonly softwareVersion?: SoftwareVersion | undefined;
}

/** Versions of one service, and when each was last seen; undefined names no version. */
type SeenVersions = Map<SoftwareVersion | undefined, number>;

/**
 * Keeps the versions of all registry entries that stood within a span of time. The version at which
 * a stream began may be inferred only where all entries of that span name the same one.
 */
export class VersionHistory {
  /** By service. */
  readonly #seen = new Map<string, SeenVersions>();

  #completeSinceMs = Infinity;

  #restartCount = 0;

  /** Number of full reads of the registry so far. */
  get restartCount(): number {
    return this.#restartCount;
  }

  /**
   * Begins anew after a full read of the registry: entries that came and went before it are unknown.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  restart(nowMs: number): void {
    this.#completeSinceMs = nowMs;
    this.#restartCount += 1;
  }

  /** Notes that all entries since the registry was created have been recorded. */
  markComplete(): void {
    this.#completeSinceMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records a registered server, when its entry is written and when it is dropped.
   *
   * @param server - the server
   * @param nowMs - monotonic time in milliseconds
   */
  recordEntry({ serviceId, softwareVersion }: VersionedServer, nowMs: number): void {
    const versions: SeenVersions = this.#seen.get(serviceId) ?? new Map();
    this.#seen.set(serviceId, versions.set(softwareVersion, nowMs));
  }

  /**
   * Finds the version that all servers of a service ran.
   *
   * @param serviceId - the service
   * @param fromMs - begin of the span that counts, on the monotonic clock in milliseconds
   * @param servers - all servers that are registered now, also those that shut down
   * @returns the version; undefined if there were several, one without a name, or the history of
   *   the span is not complete
   */
  findOnlyVersion(
    serviceId: string,
    fromMs: number,
    servers: readonly VersionedServer[],
  ): SoftwareVersion | undefined {
    if (this.#completeSinceMs > fromMs) return undefined;
    const present = servers
      .filter((server) => server.serviceId === serviceId)
      .map(({ softwareVersion }) => softwareVersion);
    const recent = [...(this.#seen.get(serviceId) ?? [])]
      .filter(([, seenAtMs]) => seenAtMs >= fromMs)
      .map(([version]) => version);
    const versions = new Set([...present, ...recent]);
    return versions.size === 1 ? [...versions][0] : undefined;
  }

  /** @param beforeMs - forgets versions that were last seen before this time */
  forgetOlderThan(beforeMs: number): void {
    this.#seen.forEach((versions) => {
      [...versions]
        .filter(([, seenAtMs]) => seenAtMs < beforeMs)
        .forEach(([version]) => versions.delete(version));
    });
  }
}
