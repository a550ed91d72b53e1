/**
 * Finds what an account's contract says of a call.
 *
 * @module
 */
import type { AccountContract, Service, WorkKind } from '../../domain/contracts/types.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { OwnedCall } from '../owner/mod.js';
import type { CallerCall, ConfigurationView } from '../views/mod.js';

/** What a call asks for, before the contract was looked at. */
export type CallQuestion = Pick<
  CallerCall,
  'account' | 'serviceId' | 'workKind' | 'method' | 'path' | 'headers' | 'body' | 'deadlineMs'
> & {
  readonly traceparent: string | undefined;
  readonly canComeBack: boolean;
};

/**
 * Resolves service, work kind and deadline of a call.
 *
 * @param configuration - what is in force
 * @param question - the call
 * @returns the call as its owner runs it
 * @throws SchedulerError where the contract does not allow the call
 */
export function resolveCall(configuration: ConfigurationView, question: CallQuestion): OwnedCall {
  const service = configuration.findService(question.serviceId);
  if (!service) {
    throw new SchedulerError(ErrorKind.NotFound, {
      message: `Cannot find service ${question.serviceId}`,
    });
  }
  const work = findWork(question, service);
  return {
    account: question.account,
    service,
    work,
    method: question.method,
    path: question.path,
    headers: question.headers,
    body: question.body,
    deadlineMs: resolveDeadline(question.account, work, question.deadlineMs),
    canComeBack: question.canComeBack,
    traceparent: question.traceparent,
  };
}

function findWork(question: CallQuestion, service: Service): WorkKind {
  const work = question.account.work.find(
    (candidate) =>
      candidate.serviceId === service.id &&
      (question.workKind === undefined || candidate.kind === question.workKind) &&
      covers(candidate, question),
  );
  if (work) return work;
  const kind = question.workKind === undefined ? 'this call' : `work kind ${question.workKind}`;
  throw new SchedulerError(ErrorKind.ServiceNotAllowed, {
    message: `Cannot send ${kind} to ${service.id}: the contract of ${question.account.accountId} does not name it`,
  });
}

function covers(work: WorkKind, question: CallQuestion): boolean {
  const [path = ''] = question.path.split('?');
  return (
    (work.methods.length === 0 || work.methods.includes(question.method)) &&
    (work.pathPrefixes.length === 0 || work.pathPrefixes.some((prefix) => path.startsWith(prefix)))
  );
}

function resolveDeadline(
  account: AccountContract,
  work: WorkKind,
  askedMs: number | undefined,
): number {
  const deadlineMs = askedMs ?? work.deadlineMs;
  if (deadlineMs <= account.longestDeadlineMs) return deadlineMs;
  throw new SchedulerError(ErrorKind.DeadlineTooLong, {
    message: `Cannot take a deadline of ${deadlineMs} ms: the contract allows ${account.longestDeadlineMs} ms`,
  });
}
