/**
 * Resolves a call against the contract of its account.
 *
 * @module
 */
import type { AccountContract, Service, WorkKind } from '../../domain/contracts/types.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { OwnedCall } from '../owner/mod.js';
import type { CallerCall, ConfigurationView } from '../views/mod.js';

/** A call as received, before its service, work kind and deadline are resolved. */
export type ReceivedCall = Pick<
  CallerCall,
  'account' | 'serviceId' | 'workKind' | 'method' | 'path' | 'headers' | 'body' | 'deadlineMs'
> & {
  readonly traceparent: string | undefined;
  /** Whether the caller can read the answer again under its request ID. */
  readonly mayReconnect: boolean;
};

/**
 * Resolves the service, work kind and deadline of a call.
 *
 * @param configuration - configuration in effect
 * @param call - the call as received
 * @returns the resolved call, as its owner runs it
 * @throws SchedulerError when the service is unknown or the contract does not allow the call
 */
export function resolveCall(configuration: ConfigurationView, call: ReceivedCall): OwnedCall {
  const service = configuration.findService(call.serviceId);
  if (!service) {
    throw new SchedulerError(ErrorKind.NotFound, {
      message: `Cannot find service ${call.serviceId}`,
    });
  }
  const work = findWorkKind(call, service);
  return {
    account: call.account,
    service,
    work,
    method: call.method,
    path: call.path,
    headers: call.headers,
    body: call.body,
    deadlineMs: resolveDeadline(call.account, work, call.deadlineMs),
    mayReconnect: call.mayReconnect,
    traceparent: call.traceparent,
  };
}

function findWorkKind(call: ReceivedCall, service: Service): WorkKind {
  const work = call.account.work.find(
    (candidate) =>
      candidate.serviceId === service.id &&
      (call.workKind === undefined || candidate.kind === call.workKind) &&
      isCovered(candidate, call),
  );
  if (work) return work;
  const kind = call.workKind === undefined ? 'this call' : `work kind ${call.workKind}`;
  throw new SchedulerError(ErrorKind.ServiceNotAllowed, {
    message: `Cannot send ${kind} to ${service.id}: the contract of ${call.account.accountId} does not name it`,
  });
}

function isCovered(work: WorkKind, call: ReceivedCall): boolean {
  const [path = ''] = call.path.split('?');
  return (
    (work.methods.length === 0 || work.methods.includes(call.method)) &&
    (work.pathPrefixes.length === 0 || work.pathPrefixes.some((prefix) => path.startsWith(prefix)))
  );
}

function resolveDeadline(
  account: AccountContract,
  work: WorkKind,
  requestedMs: number | undefined,
): number {
  const deadlineMs = requestedMs ?? work.deadlineMs;
  if (deadlineMs <= account.longestDeadlineMs) return deadlineMs;
  throw new SchedulerError(ErrorKind.DeadlineTooLong, {
    message: `Cannot take a deadline of ${deadlineMs} ms: the contract allows ${account.longestDeadlineMs} ms`,
  });
}
