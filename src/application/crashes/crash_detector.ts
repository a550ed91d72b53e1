/**
 * Detects whether a backend server has crashed when connections to it break.
 *
 * @module
 */
import type { Trial } from '../../domain/crashes/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { ProbeCause, Reachability } from '../../ports/mod.js';
import type { Clock, EventLog, Metrics, ServerProbe } from '../../ports/mod.js';

/** Time after a crash in which broken runs at the server are attributed to it, in milliseconds. */
const SAME_CRASH_MS = 1_000;

/** Maximum number of servers probed at once, and of lost runs kept for each. */
const MAX_PENDING_SERVERS = 64;
const MAX_LOST_RUNS = 256;

/** Maximum number of contents named in a log line. */
const MAX_LOGGED_CONTENTS = 16;

/** A run whose backend server closed the connection before the answer was complete. */
export interface LostRun {
  /** Backend server, or its incarnation where the request path distinguishes them. */
  readonly serverId: string;
  /** Host name or IP address, and port. */
  readonly address: string;
  readonly contentId: string;
  /** IDs of the parts of its prompt that other requests may share. Default: none. */
  readonly partIds?: readonly string[];
  /** Client account that sent it. Default: unknown. */
  readonly accountId?: string | undefined;
  /** The trial that it was; undefined if it was none. */
  readonly trial?: Trial | undefined;
  /** When the run was sent and when it broke, in monotonic milliseconds. */
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** A backend server that crashed, and the runs that broke with it. */
export interface ServerCrash {
  /** ID of this crash, the same at all entry hosts. */
  readonly crashId: string;
  readonly serverId: string;
  readonly runs: readonly LostRun[];
}

interface KnownCrash {
  readonly crashId: string;
  readonly foundAtMs: number;
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly probe: ServerProbe;
  /** @param serverId - a server that crashed. @returns ID of the crash */
  readonly createCrashId: (serverId: string) => string;
  /** Called when a server has crashed, and again for runs found later to have broken with it. */
  readonly onCrash: (crash: ServerCrash) => void;
}

/**
 * Detects crashes of backend servers by probing their addresses. A broken connection alone proves
 * little, because servers and networks also close single connections. A crashed server refuses new
 * connections at once, while a live server accepts them. So the first broken run at a server
 * triggers a probe of its address, one for all runs that break with it.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;

  /** Lost runs that wait for the result of a probe, by server. */
  readonly #pendingRuns = new Map<string, LostRun[]>();

  /** Recent crashes, by server. */
  readonly #recentCrashes = new Map<string, KnownCrash>();

  /** @param options - dependencies and callbacks */
  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Records a lost run. @param run - a run whose connection was closed by its server */
  recordLostRun(run: LostRun): void {
    const { serverId, endedAtMs } = run;
    this.#removeOldCrashes(endedAtMs);
    const crash = this.#recentCrashes.get(serverId);
    if (crash) {
      this.#options.onCrash({ serverId, crashId: crash.crashId, runs: [run] });
      return;
    }
    const runs = this.#pendingRuns.get(serverId);
    if (runs) {
      if (runs.length < MAX_LOST_RUNS) runs.push(run);
    } else if (this.#pendingRuns.size < MAX_PENDING_SERVERS) {
      this.#pendingRuns.set(serverId, [run]);
      this.#confirmCrash(run);
    } else this.#options.metrics.count('server_probes_total', { result: 'skipped' });
  }

  /**
   * Records a crash, for instance one that a peer found: runs lost at the server that still wait
   * for a probe are attributed to it.
   *
   * @param serverId - the server
   * @param crashId - ID of the crash
   */
  recordCrash(serverId: string, crashId: string): void {
    this.#recentCrashes.set(serverId, { crashId, foundAtMs: this.#options.clock.nowMs() });
    const runs = this.#pendingRuns.get(serverId);
    this.#pendingRuns.delete(serverId);
    if (runs) this.#options.onCrash({ serverId, crashId, runs });
  }

  /**
   * Probes a server that a peer reported as crashed, because the peer's own links may have failed
   * instead.
   *
   * @param serverId - the server
   * @param address - host name or IP address, and port
   * @returns whether a process listens at the address
   */
  async isListening(serverId: string, address: string): Promise<boolean> {
    const reachability = await this.#probe(serverId, address);
    return reachability === Reachability.Open;
  }

  async #probe(serverId: string, address: string): Promise<Reachability> {
    const reachability = await this.#options.probe.check(address, ProbeCause.LostRun);
    this.#options.metrics.count('server_probes_total', { result: reachability });
    const lostRuns = this.#pendingRuns.get(serverId) ?? [];
    const contentIds = [...new Set(lostRuns.map(({ contentId }) => contentId))];
    this.#options.log.write(LogLevel.Info, 'backend_server_probed', {
      backendServer: serverId,
      reachability,
      lostRuns: lostRuns.length,
      contentIds: contentIds.slice(0, MAX_LOGGED_CONTENTS).join(),
    });
    return reachability;
  }

  async #confirmCrash({ serverId, address }: LostRun): Promise<void> {
    const reachability = await this.#probe(serverId, address);
    if (reachability !== Reachability.Refused) this.#pendingRuns.delete(serverId);
    else if (this.#pendingRuns.has(serverId)) {
      this.recordCrash(serverId, this.#options.createCrashId(serverId));
    }
  }

  #removeOldCrashes(nowMs: number): void {
    this.#recentCrashes.forEach(({ foundAtMs }, serverId) => {
      if (nowMs - foundAtMs > SAME_CRASH_MS) this.#recentCrashes.delete(serverId);
    });
  }
}
