/**
 * Reads load reports and cache events of a group's backend servers.
 *
 * @module
 */
import type { BackendServer } from '../../domain/contracts/types.js';
import type { HeldGroup } from './_held_group.js';
import type { DispatcherOptions } from './dispatcher_options.js';

/** Reads once at a time for each backend server, however long it takes. */
export class ServerPoller {
  readonly #options: DispatcherOptions;

  /** Backend servers that a read is under way to. */
  readonly #reading = new Set<string>();

  /** Last sequence number seen, by backend server. */
  readonly #sequences = new Map<string, number>();

  /** @param options - what the dispatcher is built from */
  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Reads all backend servers of a group. A silent one holds up only itself.
   *
   * @param group - whose backend servers
   * @returns when every read has ended
   */
  async run(group: HeldGroup): Promise<void> {
    const idle = group.backendServers.filter(({ id }) => !this.#reading.has(id));
    await Promise.all(idle.map((server) => this.#readServer(group, server)));
  }

  async #readServer(group: HeldGroup, server: BackendServer): Promise<void> {
    this.#reading.add(server.id);
    try {
      await this.#readLoad(group, server);
      if (!group.isPlain) await this.#readCacheEvents(group, server);
    } catch {
      // Reports are hints. Whether the backend server works is learnt from requests.
      this.#options.metrics.count('backend_server_report_failures_total', {
        backendServer: server.id,
      });
    } finally {
      this.#reading.delete(server.id);
    }
  }

  async #readLoad(group: HeldGroup, server: BackendServer): Promise<void> {
    const load = await this.#options.backend.readLoad(server);
    const state = group.scheduler.pool.findServer(server.id);
    state?.noteLoad(load.running + load.waiting, load.leaving, this.#options.clock.nowMs());
    this.#options.noteBackendServerLoad?.(server.id, load.leaving);
  }

  async #readCacheEvents(group: HeldGroup, server: BackendServer): Promise<void> {
    const after = this.#sequences.get(server.id) ?? 0;
    const events = await this.#options.backend.readCacheEvents(server, after);
    const hints = group.scheduler.pool.findServer(server.id)?.hints;
    const nowMs = this.#options.clock.nowMs();
    events.forEach(({ stored, blockHash }) => {
      if (stored) hints?.noteStored(blockHash, nowMs);
      else hints?.noteRemoved(blockHash);
    });
    const last = events.reduce((most, { sequence }) => Math.max(most, sequence), after);
    this.#sequences.set(server.id, last);
  }
}
