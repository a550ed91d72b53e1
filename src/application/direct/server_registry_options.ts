/**
 * Dependencies and settings of the registry of backend servers.
 *
 * @module
 */
import type { ServerPaths } from '../../domain/paths/mod.js';
import type { EntryReaderOptions } from './_entry_reader.js';
import type { ServerVersionsOptions } from './_server_versions.js';
import type { WarmupTrackerOptions } from './_warmup_tracker.js';

/** Dependencies and settings of the registry. */
export interface ServerRegistryOptions
  extends EntryReaderOptions, ServerVersionsOptions, WarmupTrackerOptions {
  /** What is known of this host's links to the backend servers. */
  readonly paths: ServerPaths;
  /** @returns number of entry hosts that serve callers, including this one */
  readonly countServing: () => number;
  /** @returns whether a service's backend servers are model engines */
  readonly isEngine: (serviceId: string) => boolean;
  /** @returns region of a zone; undefined for an unknown zone */
  readonly findRegion: (zone: string) => string | undefined;
}
