/**
 * What the runs of one call say about its content.
 *
 * @module
 */
import { BackendFailure } from '../../ports/mod.js';
import { isSuccess } from '../crashes/mod.js';
import type { AttemptResult } from './_direct_attempt.js';
import type { DirectServices } from './direct_services.js';

const NOT_RUN_FAILURES: ReadonlySet<BackendFailure> = new Set([
  BackendFailure.NotSent,
  BackendFailure.Declined,
  BackendFailure.Misdirected,
]);

/** Tells of runs under which their server may have ended, and of those that were answered. */
export class CrashEvidence {
  readonly #services: DirectServices;

  readonly #contentId: string;

  /**
   * @param services - where it is kept
   * @param contentId - the call's content
   */
  constructor(services: DirectServices, contentId: string) {
    this.#services = services;
    this.#contentId = contentId;
  }

  /**
   * @param serverId - life of the backend server that it ran at
   * @param result - how that ended
   */
  recordAttempt(serverId: string, result: AttemptResult): void {
    const { clock, crashes } = this.#services;
    const contentId = this.#contentId;
    const startedAtMs = clock.nowMs() - result.totalMs;
    if (result.isComplete) {
      const hasSucceeded =
        result.failure === undefined && result.isFramed && isSuccess(result.status);
      crashes.noteAnswered({ contentId, serverId, startedAtMs, hasSucceeded });
    }
    if (result.failure === BackendFailure.Lost) this.#recordLostRun(serverId, startedAtMs);
  }

  /** A server that leaves as planned may close what it didn't finish; nobody ended it. */
  #recordLostRun(serverId: string, startedAtMs: number): void {
    const { clock, crashes, servers } = this.#services;
    const address = servers.find(serverId)?.address;
    if (address === undefined || !servers.isUsable(serverId)) return;
    const contentId = this.#contentId;
    const endedAtMs = clock.nowMs();
    crashes.noteLost({ serverId, address, contentId, startedAtMs, endedAtMs });
  }
}

/**
 * @param end - how a try ended
 * @returns whether its server may have run the request
 */
export function mayAttemptHaveRun({ failure }: Pick<AttemptResult, 'failure'>): boolean {
  return failure === undefined || !NOT_RUN_FAILURES.has(failure);
}
