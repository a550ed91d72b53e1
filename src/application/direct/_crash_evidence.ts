/**
 * Reports what the attempts of one call show about its content.
 *
 * @module
 */
import { BackendFailure } from '../../ports/mod.js';
import { isSuccess } from '../crashes/mod.js';
import type { DirectAttemptResult } from './_attempt_result.js';
import type { DirectServices } from './direct_services.js';

const NOT_RUN_FAILURES: ReadonlySet<BackendFailure> = new Set([
  BackendFailure.NotSent,
  BackendFailure.Declined,
  BackendFailure.Misdirected,
]);

/**
 * Reports attempts whose backend server may have crashed, and those that were answered, to the
 * crash quarantine.
 */
export class CrashEvidence {
  readonly #services: DirectServices;

  readonly #contentId: string;

  /**
   * @param services - give access to the crash quarantine and the backend servers
   * @param contentId - content ID of the call
   */
  constructor(services: DirectServices, contentId: string) {
    this.#services = services;
    this.#contentId = contentId;
  }

  /**
   * Reports the result of an attempt.
   *
   * @param serverId - incarnation ID of the backend server
   * @param result - result of the attempt
   */
  recordAttempt(serverId: string, result: DirectAttemptResult): void {
    const { clock, crashes } = this.#services;
    const contentId = this.#contentId;
    const startedAtMs = clock.nowMs() - result.totalMs;
    if (result.isComplete) {
      const hasSucceeded =
        result.failure === undefined && result.isFramed && isSuccess(result.status);
      crashes.recordAnswer({ contentId, serverId, startedAtMs, hasSucceeded });
    }
    if (result.failure === BackendFailure.Lost) this.#recordLostRun(serverId, startedAtMs);
  }

  /**
   * Reports a lost connection as a possible crash. A draining backend server is skipped: it may
   * close connections with unfinished requests without having crashed.
   */
  #recordLostRun(serverId: string, startedAtMs: number): void {
    const { clock, crashes, servers } = this.#services;
    const address = servers.findEntry(serverId)?.address;
    if (address === undefined || !servers.isUsable(serverId)) return;
    const contentId = this.#contentId;
    const endedAtMs = clock.nowMs();
    crashes.recordLostRun({ serverId, address, contentId, startedAtMs, endedAtMs });
  }
}

/**
 * Tells whether an attempt may have run the request.
 *
 * @param result - result of the attempt
 * @returns whether the backend server may have run it
 */
export function mayAttemptHaveRun({ failure }: Pick<DirectAttemptResult, 'failure'>): boolean {
  return failure === undefined || !NOT_RUN_FAILURES.has(failure);
}
