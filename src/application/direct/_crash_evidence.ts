/**
 * Reports what the attempts of one call show about its content.
 *
 * @module
 */
import { BackendFailure } from '../../ports/mod.js';
import { isSuccess } from '../crashes/mod.js';
import type { LostRun, Permit } from '../crashes/mod.js';
import type { DirectAttemptResult } from './_attempt_result.js';
import type { DirectCallOptions } from './direct_call_options.js';
import type { DirectServices } from './direct_services.js';

const NOT_RUN_FAILURES: ReadonlySet<BackendFailure> = new Set([
  BackendFailure.NotSent,
  BackendFailure.Declined,
  BackendFailure.Misdirected,
]);

/** What a call may crash backend servers by. */
export type RequestCauses = Pick<DirectCallOptions, 'contentId' | 'details'>;

/**
 * Reports attempts whose backend server may have crashed, and those that were answered, to the
 * crash quarantine.
 */
export class CrashEvidence {
  readonly #services: DirectServices;

  readonly #causes: Pick<LostRun, 'contentId' | 'partIds' | 'accountId'>;

  /**
   * @param services - give access to the crash quarantine and the backend servers
   * @param causes - content of the call and shared parts of its prompt
   */
  constructor(services: DirectServices, { contentId, details }: RequestCauses) {
    this.#services = services;
    this.#causes = { contentId, ...details };
  }

  /**
   * Reports the result of an attempt.
   *
   * @param serverId - incarnation ID of the backend server
   * @param result - result of the attempt
   * @param permit - permit by which it was sent
   */
  recordAttempt(serverId: string, result: DirectAttemptResult, { trial }: Permit): void {
    const { clock, crashes } = this.#services;
    const startedAtMs = clock.nowMs() - result.totalMs;
    if (result.isComplete) {
      const hasSucceeded =
        result.failure === undefined && result.isFramed && isSuccess(result.status);
      crashes.recordAnswer({ ...this.#causes, serverId, startedAtMs, hasSucceeded });
    }
    if (result.failure === BackendFailure.Lost) this.#recordLostRun(serverId, startedAtMs, trial);
  }

  /**
   * Reports a lost connection as a possible crash. A draining backend server is skipped: it may
   * close connections with unfinished requests without having crashed.
   */
  #recordLostRun(serverId: string, startedAtMs: number, trial: Permit['trial']): void {
    const { clock, crashes, servers } = this.#services;
    const address = servers.findEntry(serverId)?.address;
    if (address === undefined || !servers.isUsable(serverId)) return;
    const endedAtMs = clock.nowMs();
    crashes.recordLostRun({ ...this.#causes, trial, serverId, address, startedAtMs, endedAtMs });
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
