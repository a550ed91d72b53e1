/**
 * Tracks the pauses that backend servers without room ask this entry host for.
 *
 * @module
 */
import type { ServerLoad } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { computeFirstIntervalMs, computePacePosition } from '../../domain/places/mod.js';
import { PauseKind } from '../../ports/mod.js';
import type { Clock, EventLog, ServerEvidence } from '../../ports/mod.js';
import type { PaceHosts } from './_pace_roles.js';

/** Shortest time between two log lines about unreadable times of all servers, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;

/** Longest part of an unreadable value that is logged, in characters. */
const MAX_LOGGED_CHARACTERS = 40;

/** Dependencies of {@link ServerPauses}. */
export interface ServerPausesOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly hosts: Pick<PaceHosts, 'selfId' | 'listKnown'>;
}

/** A pause, and where in the interval after it this host sends first. */
interface AskedPause {
  readonly untilMs: number;
  /** Number of entry hosts, and this one's position among them: they return one by one. */
  readonly hostCount: number;
  readonly position: number;
}

/** Keeps pauses by incarnation, also while its entry has lapsed. */
export class ServerPauses {
  readonly #options: ServerPausesOptions;

  /** By incarnation ID; ends are on the monotonic clock. */
  readonly #pauses = new Map<string, AskedPause>();

  #invalidLoggedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - dependencies */
  constructor(options: ServerPausesOptions) {
    this.#options = options;
  }

  /** Number of servers to which this host sends nothing now. */
  get count(): number {
    return [...this.#pauses.keys()].filter((id) => this.isPaused(id)).length;
  }

  /** @param id - a server incarnation. @returns whether this host must send it nothing now */
  isPaused(id: string): boolean {
    return this.computeLeftMs(id) > 0;
  }

  /** @param id - a server incarnation. @returns time left of its pause, in milliseconds */
  computeLeftMs(id: string): number {
    return Math.max(0, (this.#pauses.get(id)?.untilMs ?? 0) - this.#options.clock.nowMs());
  }

  /** @param evidence - an answer of a server. @returns whether a pause has begun or is longer */
  recordAnswer({ incarnationId, requestId, notice: { pause } }: ServerEvidence): boolean {
    if (!pause) return false;
    if (pause.kind === PauseKind.Invalid) {
      this.#logInvalid(incarnationId, requestId, pause.text);
      return false;
    }
    const { clock, hosts, log } = this.#options;
    const { pauseMs } = pause;
    if (pauseMs <= this.computeLeftMs(incarnationId)) return false;
    this.#dropEnded();
    const hostIds = [hosts.selfId, ...hosts.listKnown().map(({ identity }) => identity.id)];
    this.#pauses.set(incarnationId, {
      untilMs: clock.nowMs() + pauseMs,
      hostCount: hostIds.length,
      position: computePacePosition(hosts.selfId, hostIds, incarnationId),
    });
    log.write(LogLevel.Info, 'backend_server_paused', {
      backendServer: incarnationId,
      requestId,
      pauseMs,
    });
    return true;
  }

  /**
   * @param id - a server incarnation
   * @param load - its load, which holds the pace at which this host sends to it
   */
  updatePace(id: string, load: ServerLoad): void {
    const asked = this.#pauses.get(id);
    if (!asked) return;
    const { untilMs, hostCount, position } = asked;
    const intervalMs = computeFirstIntervalMs(hostCount, load.slots);
    load.pace.pause.begin(untilMs + (position / hostCount) * intervalMs, intervalMs);
  }

  #dropEnded(): void {
    [...this.#pauses.keys()]
      .filter((id) => !this.isPaused(id))
      .forEach((id) => this.#pauses.delete(id));
  }

  #logInvalid(backendServer: string, requestId: string, text: string): void {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#invalidLoggedAtMs < INVALID_LOG_INTERVAL_MS) return;
    this.#invalidLoggedAtMs = nowMs;
    this.#options.log.write(LogLevel.Warn, 'backend_server_pause_refused', {
      backendServer,
      requestId,
      value: text.slice(0, MAX_LOGGED_CHARACTERS),
    });
  }
}
