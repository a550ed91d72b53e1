/**
 * Refusals of calls that can't be started in time, or that no backend server can take.
 *
 * @module
 */
import { computeDirectRetryAfterMs } from '../../domain/direct/mod.js';
import { mayServe } from '../../domain/backend_servers/mod.js';
import type { Candidate, ServerLimits } from '../../domain/backend_servers/mod.js';
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { isAllowedRegion } from '../../domain/places/mod.js';
import type { AllowedRegions } from '../../domain/places/mod.js';
import type { LogFields } from '../../ports/mod.js';
import { buildRetryElsewhereError } from './_call_checks.js';
import { deriveShedCause } from './_end_cause.js';
import type { EndCause } from './_end_cause.js';
import type { DirectCallOptions } from './direct_call_options.js';
import type { ServerRegistry } from './server_registry.js';

/** What decides which backend servers may take a call. */
export interface LimitedCall extends ServerLimits {
  readonly regions: AllowedRegions;
}

/**
 * Finds why no backend server can take a call: all servers of the service are in closed zones or
 * leave, none is in a region in which the call may be handled, or none may continue its stream.
 *
 * @param servers - all known backend servers
 * @param serviceId - service of the call
 * @param call - what decides which servers may take it
 * @returns the kind of refusal; undefined when waiting may help
 */
export function findRejection(
  servers: ServerRegistry,
  serviceId: string,
  call: LimitedCall,
): ErrorKind | undefined {
  if (servers.hasOnlyClosedZones(serviceId)) return ErrorKind.ServiceClosed;
  if (servers.hasOnlyLeaving(serviceId)) return ErrorKind.NoBackendServer;
  const candidates = servers.listCandidates(serviceId);
  if (call.origin && !candidates.some((candidate) => mayServe(candidate, call)))
    return ErrorKind.StreamVersionGone;
  if (call.regions === undefined) return undefined;
  const isAllowed = candidates.some(({ region }) => isAllowedRegion(call.regions, region));
  return candidates.length === 0 || isAllowed ? undefined : ErrorKind.RegionUnavailable;
}

/**
 * @param candidates - servers that may be given work
 * @param call - a call
 * @returns whether it was sent to each of them, so that no free slot is one for it
 */
export function hasTriedAll(
  candidates: readonly Candidate[],
  { excluded }: Pick<LimitedCall, 'excluded'>,
): boolean {
  return candidates.length > 0 && candidates.every(({ id }) => excluded.has(id));
}

/** A call that is refused. */
export interface ShedCall extends LimitedCall {
  /** When the last useful start would be, however long its caller waits for the first byte. */
  readonly completableUntilMs: number;
  /** Whether this process stops before the call's own time is over. */
  readonly isCutByStop: boolean;
}

/** A refusal, and the values that it used, for the log. */
export interface ShedRefusal {
  readonly error: SchedulerError;
  readonly cause: EndCause;
  readonly fields: LogFields;
}

/**
 * Builds the refusal of a call that can't be started in time.
 *
 * @param options - the call's route, service and dependencies
 * @param call - state of the call
 * @param estimatedWaitMs - estimated wait for a slot, in milliseconds
 * @returns the refusal, with the time after which the caller should come back
 */
export function buildShedRefusal(
  { services, serviceId }: DirectCallOptions,
  call: ShedCall,
  estimatedWaitMs: number,
): ShedRefusal {
  const randomFraction = services.random.nextFraction();
  const pausedMs = services.servers.estimateBlockedMs(serviceId);
  const waitMs = Math.max(estimatedWaitMs, pausedMs);
  const retryAfterMs = Number.isFinite(waitMs)
    ? computeDirectRetryAfterMs(waitMs, randomFraction)
    : undefined;
  const canReturn =
    retryAfterMs !== undefined && services.clock.nowMs() + retryAfterMs <= call.completableUntilMs;
  const shortage = canReturn ? ErrorKind.QueueFull : ErrorKind.DeadlineUnreachable;
  const kind =
    findRejection(services.servers, serviceId, call) ??
    (call.isCutByStop ? ErrorKind.EntryHostStopping : shortage);
  const declinesPerSecond = services.servers.notices.refusalLimits.find(serviceId);
  return {
    error:
      kind === ErrorKind.EntryHostStopping
        ? buildRetryElsewhereError(kind)
        : new SchedulerError(kind, retryAfterMs === undefined ? {} : { retryAfterMs }),
    cause: deriveShedCause(kind),
    fields: {
      clearMs: Number.isFinite(estimatedWaitMs) ? estimatedWaitMs : undefined,
      boundVersion: call.origin?.version,
      declinesPerSecond,
      pausedMs: pausedMs > 0 ? pausedMs : undefined,
    },
  };
}

/**
 * Corrects an error that would tell the caller that its request did not run.
 *
 * @param error - why the call ends
 * @param mayHaveRun - whether a backend server may have run the request
 * @returns the error to report
 */
export function correctRefusal(error: SchedulerError, mayHaveRun: boolean): SchedulerError {
  return mayHaveRun && error.run === RunOutcome.NotRun
    ? new SchedulerError(ErrorKind.BackendServerLost)
    : error;
}
