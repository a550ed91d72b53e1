/**
 * Polls the load reports and cache events of a group's backend servers.
 *
 * @module
 */
import type { BackendServer } from '../../domain/contracts/types.js';
import type { HostedGroup } from './_hosted_group.js';
import type { DispatcherOptions } from './dispatcher_options.js';

/**
 * Time without cache events after which they are read from the beginning, in
 * milliseconds. A backend server that was restarted numbers its events from 0
 * again; a read after the old sequence number would return nothing for a long time.
 */
const CURSOR_RESET_AFTER_MS = 60_000;

/** Position up to which the cache events of a backend server were read. */
interface CacheEventCursor {
  /** Sequence number of the last event read. */
  readonly sequence: number;
  /** Time of the last read that returned events or started from 0, on the monotonic clock. */
  readonly advancedAtMs: number;
}

/** Polls backend servers, with at most one read in flight for each of them. */
export class ServerPoller {
  readonly #options: DispatcherOptions;

  /** IDs of the backend servers with a read in flight. */
  readonly #serversInFlight = new Set<string>();

  /** Cursors by backend server ID. */
  readonly #cursors = new Map<string, CacheEventCursor>();

  /** @param options - the dispatcher's options */
  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Polls all backend servers of a group in parallel, except those whose last read is
   * still in flight. A backend server that doesn't respond delays no other.
   *
   * @param group - the group to poll
   * @returns a promise that resolves when all reads have ended
   */
  async run(group: HostedGroup): Promise<void> {
    const idleServers = group.backendServers.filter(({ id }) => !this.#serversInFlight.has(id));
    await Promise.all(idleServers.map((server) => this.#readServer(group, server)));
  }

  async #readServer(group: HostedGroup, server: BackendServer): Promise<void> {
    this.#serversInFlight.add(server.id);
    try {
      await this.#readLoad(group, server);
      if (!group.isPlain) await this.#readCacheEvents(group, server);
    } catch {
      // Reports are only hints. The health of a backend server is derived from requests.
      this.#options.metrics.count('backend_server_report_failures_total', {
        backendServer: server.id,
      });
    } finally {
      this.#serversInFlight.delete(server.id);
    }
  }

  async #readLoad(group: HostedGroup, server: BackendServer): Promise<void> {
    const load = await this.#options.backend.readLoad(server);
    const serverState = group.scheduler.pool.findServer(server.id);
    serverState?.recordLoadReport(
      load.running + load.waiting,
      load.leaving,
      this.#options.clock.nowMs(),
    );
    this.#options.onBackendServerLoad?.(server.id, load.leaving);
  }

  async #readCacheEvents(group: HostedGroup, server: BackendServer): Promise<void> {
    const startedAtMs = this.#options.clock.nowMs();
    const cursor = this.#cursors.get(server.id);
    const mustReset = !cursor || startedAtMs - cursor.advancedAtMs > CURSOR_RESET_AFTER_MS;
    const afterSequence = mustReset ? 0 : cursor.sequence;
    const events = await this.#options.backend.readCacheEvents(server, afterSequence);
    const hints = group.scheduler.pool.findServer(server.id)?.hints;
    const nowMs = this.#options.clock.nowMs();
    events.forEach(({ stored, blockHash }) => {
      if (stored) hints?.recordStored(blockHash, nowMs);
      else hints?.recordRemoved(blockHash);
    });
    const sequence = events.reduce(
      (highest, event) => Math.max(highest, event.sequence),
      afterSequence,
    );
    const advancedAtMs = mustReset || events.length > 0 ? nowMs : cursor.advancedAtMs;
    this.#cursors.set(server.id, { sequence, advancedAtMs });
  }
}
