/**
 * Decides whether another server is asked beside a silent one.
 *
 * @module
 */
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import type { DirectReply } from '../../ports/mod.js';
import { PermitKind } from '../crashes/mod.js';
import type { Permit } from '../crashes/mod.js';
import type { AttemptBudget } from './_attempt_budget.js';
import type { CallRecorder } from './_call_recorder.js';
import type { CallRetries } from './_call_retries.js';
import type { DirectAttempt } from './_direct_attempt.js';
import type { DirectCallOptions } from './direct_call_options.js';
import type { DirectServices } from './direct_services.js';
import type { QueuedCall } from './service_queue_options.js';

/** Time after a refusal of the retry budget in which it is not asked again, in milliseconds. */
const BUDGET_INTERVAL_MS = 500;

/** Longest time for which a stream is kept while all servers are silent, in milliseconds. */
const MAX_ALL_SILENT_MS = 1_000;

/** Fraction of the time left for which it is kept at most: the rest is for another server. */
const ALL_SILENT_FRACTION = 0.5;

/** Why a silent attempt is kept. */
export enum KeepReason {
  /** It is a trial, whose result is worth more than a server that may be faster. */
  Trial = 'trial',
  /** The route allows no more attempts, or the answer can't go on elsewhere. */
  NoAttempt = 'no_attempt',
  /** No other server that has room could answer in the time that is left. */
  NoServer = 'no_server',
  /** The call may not be sent again: its key was revoked, or its content ends servers. */
  NotAllowed = 'not_allowed',
  /** Other servers are silent as well, as far as this host can tell. */
  AllSilent = 'all_silent',
  /** The retry budget of the service is used up. */
  NoBudget = 'no_budget',
}

/** A server that may be sent the request at once. */
export interface PermittedServer {
  readonly server: BackendServerEntry;
  readonly load: ServerLoad;
  readonly permit: Permit;
}

/** The call, and what its next attempt depends on. */
export interface SilencePolicyOptions extends Pick<
  DirectCallOptions,
  'contentId' | 'details' | 'queue' | 'findDispatchRefusal' | 'route' | 'serviceId'
> {
  readonly services: Pick<DirectServices, 'clock' | 'servers' | 'crashes'>;
  readonly call: QueuedCall;
  readonly attempts: AttemptBudget;
  readonly retries: CallRetries;
  readonly recorder: CallRecorder;
  readonly reply: Pick<DirectReply, 'hasStarted'>;
}

/**
 * Finds a server that may be asked beside a silent one: all that could refuse the call is asked
 * before, and at the same moment. A server that is only slow still answers; an attempt that is given
 * up for nothing turns its answer into an error and its work into waste.
 */
export class SilencePolicy {
  readonly #options: SilencePolicyOptions;

  readonly #recorded = new Set<KeepReason>();

  /** Until when the stream is kept while all servers are silent, in monotonic milliseconds. */
  #keptUntilMs: number | undefined;

  /** When the retry budget refused the call last, on the monotonic clock in milliseconds. */
  #refusedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - the call and what its next attempt depends on */
  constructor(options: SilencePolicyOptions) {
    this.#options = options;
  }

  /**
   * Finds the server to ask beside a silent one. Its retry is granted then.
   *
   * @param attempt - an attempt that has been silent for longer than its limit
   * @param permit - permit by which it was sent
   * @returns the server; undefined if the attempt is kept alone
   */
  findNext(attempt: DirectAttempt, permit: Permit): PermittedServer | undefined {
    const found = this.#find(attempt, permit);
    if (typeof found !== 'string') return found;
    if (!this.#recorded.has(found)) this.#options.recorder.recordKept(attempt.incarnationId, found);
    this.#recorded.add(found);
    return undefined;
  }

  #find(attempt: DirectAttempt, permit: Permit): PermittedServer | KeepReason {
    const { attempts, reply, findDispatchRefusal, queue, call, services } = this.#options;
    if (permit.kind === PermitKind.Trial) return KeepReason.Trial;
    const canContinue = !reply.hasStarted || attempt.stream?.lastEventId !== undefined;
    const mayRunAgain = attempts.mayRunAgain() && attempts.maySendAgain();
    if (!mayRunAgain || !canContinue) return KeepReason.NoAttempt;
    if (findDispatchRefusal()) return KeepReason.NotAllowed;
    const quiet = this.#listQuiet();
    if (quiet === undefined) return KeepReason.AllSilent;
    const candidate = queue.pickBeside(call, quiet);
    const server = candidate && services.servers.findEntry(candidate.id);
    if (!server) return KeepReason.NoServer;
    // A permit that is a trial is void at once, and peers are told of both.
    const next = this.#recorded.has(KeepReason.Trial) ? undefined : this.#acquirePermit();
    if (!next) return KeepReason.Trial;
    // A request that was never written costs the service nothing.
    if (attempt.mayHaveBeenSent && !this.#takeRetry()) return KeepReason.NoBudget;
    return { server, load: candidate.load, permit: next };
  }

  /**
   * Lists servers that have fallen silent as well: a stream that is given up for one of them may be
   * declined later. While no server speaks, it is kept for a while, as sound ones go on then.
   *
   * @returns their incarnation IDs; undefined if all servers are silent as far as this host can tell
   */
  #listQuiet(): readonly string[] | undefined {
    const { services, serviceId, route, attempts } = this.#options;
    if (!route.isStream) return [];
    const nowMs = services.clock.nowMs();
    const candidates = services.servers.listCandidates(serviceId);
    const quiet = candidates.filter(({ load }) => load.signs.isQuiet(nowMs, load.ownInFlight));
    const areAllSilent =
      quiet.length > 1 && !candidates.some(({ load }) => load.signs.hasSpoken(nowMs));
    const keepMs = Math.min(MAX_ALL_SILENT_MS, ALL_SILENT_FRACTION * attempts.timeLeftMs);
    if (areAllSilent) this.#keptUntilMs ??= nowMs + keepMs;
    else this.#keptUntilMs = undefined;
    const isKept = this.#keptUntilMs !== undefined && nowMs < this.#keptUntilMs;
    return isKept ? undefined : quiet.map(({ id }) => id);
  }

  /** @returns a permit that is no trial: the silent attempt may still show what its content does */
  #acquirePermit(): Permit | undefined {
    const { services, contentId, details, attempts } = this.#options;
    const permit = services.crashes.acquirePermit(contentId, details, attempts.hasTimeForTrial);
    if (permit.kind === PermitKind.Free) return permit;
    permit.returnUnused();
    return undefined;
  }

  /** Each refusal is logged, so that the budget is asked again only now and then. */
  #takeRetry(): boolean {
    const { services, retries } = this.#options;
    const nowMs = services.clock.nowMs();
    if (nowMs - this.#refusedAtMs < BUDGET_INTERVAL_MS) return false;
    if (retries.take()) return true;
    this.#refusedAtMs = nowMs;
    return false;
  }
}
