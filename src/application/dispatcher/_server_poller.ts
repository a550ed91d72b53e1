/**
 * Reads load reports and cache events of a group's backend servers.
 *
 * @module
 */
import type { BackendServer } from '../../domain/contracts/types.js';
import type { HeldGroup } from './_held_group.js';
import type { DispatcherOptions } from './dispatcher_options.js';

/**
 * Time without cache events after which they are read from the beginning, in
 * milliseconds. A backend server that was restarted counts from 0 again; asked
 * for what comes after the old numbers, it would have nothing to tell for long.
 */
const REREAD_AFTER_MS = 60_000;

/** How far the cache events of a backend server were read. */
interface ReadMark {
  readonly sequence: number;
  /** When the last event came, on the monotonic clock. */
  readonly atMs: number;
}

/** Reads once at a time for each backend server, however long it takes. */
export class ServerPoller {
  readonly #options: DispatcherOptions;

  /** Backend servers that a read is under way to. */
  readonly #reading = new Set<string>();

  /** By backend server. */
  readonly #marks = new Map<string, ReadMark>();

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
    const startMs = this.#options.clock.nowMs();
    const mark = this.#marks.get(server.id);
    const isSilent = !mark || startMs - mark.atMs > REREAD_AFTER_MS;
    const after = isSilent ? 0 : mark.sequence;
    const events = await this.#options.backend.readCacheEvents(server, after);
    const hints = group.scheduler.pool.findServer(server.id)?.hints;
    const nowMs = this.#options.clock.nowMs();
    events.forEach(({ stored, blockHash }) => {
      if (stored) hints?.noteStored(blockHash, nowMs);
      else hints?.noteRemoved(blockHash);
    });
    const sequence = events.reduce((most, event) => Math.max(most, event.sequence), after);
    const atMs = isSilent || events.length > 0 ? nowMs : mark.atMs;
    this.#marks.set(server.id, { sequence, atMs });
  }
}
