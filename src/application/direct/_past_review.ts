/**
 * Works off all changes that a store has had, in short steps.
 *
 * @module
 */
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import { hasMovedStreams, RouteTable } from '../../domain/routing/mod.js';
import type { RoutingDocument } from '../../domain/routing/mod.js';
import type { VersionedServer } from '../../domain/streams/mod.js';
import type { FeedChange } from '../../ports/mod.js';

/** Bytes of values after which a step ends; a configuration of a hundred routes takes as many. */
const MAX_STEP_BYTES = 32_768;

/** How to tell and decode configurations and backend servers. */
export interface PastLayout {
  /** Key of the configuration. */
  readonly configurationKey: string;
  /** Prefix of the keys under which backend servers are registered. */
  readonly serversPrefix: string;
  readonly decodeConfiguration: (value: Uint8Array) => RoutingDocument;
  readonly decodeServer: (key: string, value: Uint8Array) => BackendServerEntry;
}

/** What a store has had; only the newest configuration that was worked off is kept. */
export class PastReview {
  readonly #layout: PastLayout;

  /** What is left, the next one last: first the configurations, then the servers. */
  readonly #remaining: FeedChange[];

  readonly #servers: VersionedServer[] = [];

  #table: RouteTable | undefined;

  /**
   * @param changes - all changes since the store was created
   * @param layout - how to tell and decode them
   */
  constructor(changes: readonly FeedChange[], layout: PastLayout) {
    this.#layout = layout;
    const present = changes.filter(({ value }) => value !== undefined);
    const isConfiguration = ({ key }: FeedChange): boolean => key === layout.configurationKey;
    const isServer = ({ key }: FeedChange): boolean => key.startsWith(layout.serversPrefix);
    this.#remaining = [...present.filter(isConfiguration), ...present.filter(isServer)].reverse();
  }

  /** Service and software of each server that was worked off so far. */
  get servers(): readonly VersionedServer[] {
    return this.#servers;
  }

  /**
   * Works off the next changes: at least one, and no more than a few if they are large.
   *
   * @returns whether any is left
   * @throws Error if one of them can't be decoded, or configurations have sent streams to different
   *   services
   */
  runStep(): boolean {
    let bytes = 0;
    while (bytes < MAX_STEP_BYTES) {
      const change = this.#remaining.pop();
      if (!change?.value) return false;
      bytes += change.value.byteLength;
      if (change.key === this.#layout.configurationKey) this.#addConfiguration(change.value);
      else this.#addServer(change.key, change.value);
    }
    return this.#remaining.length > 0;
  }

  #addConfiguration(value: Uint8Array): void {
    const table = new RouteTable(this.#layout.decodeConfiguration(value));
    if (this.#table && hasMovedStreams(this.#table, table))
      throw new Error('Cannot tell where streams went');
    this.#table = table;
  }

  #addServer(key: string, value: Uint8Array): void {
    const { serviceId, softwareVersion } = this.#layout.decodeServer(key, value);
    this.#servers.push({ serviceId, softwareVersion });
  }
}
