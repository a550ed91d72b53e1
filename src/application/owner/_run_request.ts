/**
 * Runs one owned request from admission to its end, including waits, attempts and retries.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { RequestState } from '../../domain/requests/mod.js';
import type { OutputPredictor, RetryBudget } from '../../domain/scheduling/mod.js';
import { SlotOutcome } from '../../ports/mod.js';
import { settle } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';
import { formatAddress, PermitKind } from '../crashes/mod.js';
import type { CrashQuarantine, Permit } from '../crashes/mod.js';
import type { Admission, AllowanceSource, Slot, SlotSource, SlotRequest } from '../views/mod.js';
import { Attempt } from './_attempt.js';
import type { AttemptContext, AttemptResult } from './_attempt.js';
import { waitForSlot } from './_slot_wait.js';
import { readPromptInfo } from './_prompt_info.js';
import type { PromptInfo } from './_prompt_info.js';
import type { OwnedCall } from './owned_call.js';
import type { OwnedRequest } from './owned_request.js';

/** Maximum attempts for one request, the first included. */
const MAX_ATTEMPTS = 4;

/** Dependencies of running a request. */
export interface RunContext extends AttemptContext {
  readonly allowances: AllowanceSource;
  readonly crashes: CrashQuarantine;
  readonly slots: SlotSource;
  readonly outputs: OutputPredictor;
  readonly retries: RetryBudget;
}

const UNUSED_SLOT = { outcome: SlotOutcome.Unused, firstByteMs: 0, totalMs: 0, outputTokens: 0 };

/**
 * Runs a request to its end. However it ends, the record becomes final and the
 * answer is closed.
 *
 * @param context - dependencies
 * @param request - the request, in state Accepted
 * @param call - the request's call
 */
export function* runRequest(
  context: RunContext,
  request: OwnedRequest,
  call: OwnedCall,
): Step<void> {
  const prompt = readPromptInfo(call);
  const outputTokens = predictOutputTokens(context, call, prompt);
  let admission: Admission | undefined;
  let usedTokens = 0;
  try {
    const refusal = context.crashes.findRefusal(request.contentId);
    if (refusal) throw refusal;
    admission = context.allowances.admit(call.account, prompt.promptTokens + outputTokens);
    request.record.transitionTo(RequestState.Queued);
    const result = yield* runAttempts(context, request, call, prompt, outputTokens);
    usedTokens = request.record.isHandedOver ? prompt.promptTokens + result.use.outputTokens : 0;
    if (result.error) request.fail(result.error);
    else recordOutputTokens(context, call, result.use.outputTokens);
  } catch (error) {
    request.fail(
      error instanceof SchedulerError
        ? error
        : new SchedulerError(ErrorKind.Internal, {
            message: 'Cannot run the request: internal error',
            cause: error,
          }),
    );
  } finally {
    admission?.release(usedTokens);
  }
}

function* runAttempts(
  context: RunContext,
  request: OwnedRequest,
  call: OwnedCall,
  prompt: PromptInfo,
  outputTokens: number,
): Step<AttemptResult> {
  const deadlineAtMs = context.clock.nowMs() + call.deadlineMs;
  const excluded: string[] = [];
  context.retries.recordAttempt();
  for (let attempt = 1; ; attempt += 1) {
    const { slot, permit } = yield* acquirePermit(context, request, {
      requestId: request.record.id.text,
      serviceId: call.service.id,
      accountId: call.account.accountId,
      weight: call.account.weight,
      tier: call.work.tier,
      deadlineAtMs,
      promptTokens: prompt.promptTokens,
      expectedOutputTokens: outputTokens,
      blockHashes: prompt.blockHashes,
      excluded,
      traceparent: call.traceparent,
      signal: request.signal,
    });
    const result = yield* useSlot(context, request, call, slot, deadlineAtMs);
    if (!request.record.isHandedOver) permit.returnUnused();
    if (!result.mayRetry) return result;
    checkMayRetry(context, request, result, { attempt, deadlineAtMs });
    if (result.use.outcome === SlotOutcome.Refused) excluded.push(slot.backendServer.id);
    request.record.transitionTo(RequestState.Queued);
  }
}

/** A granted slot, together with the permit to send the request. */
interface DispatchPermit {
  readonly slot: Slot;
  readonly permit: Permit;
}

/**
 * Waits for a slot and for a permit to send the request. While another request with the same
 * content is on trial, the slot is released, and a new one is requested afterwards.
 */
function* acquirePermit(
  context: RunContext,
  request: OwnedRequest,
  slotRequest: SlotRequest,
): Step<DispatchPermit> {
  for (;;) {
    const slot: Slot = yield* settle(waitForSlot(context, slotRequest));
    const refusal = findRefusal(context, request);
    if (refusal) {
      slot.release(UNUSED_SLOT);
      throw refusal;
    }
    const permit = context.crashes.acquirePermit(request.contentId);
    if (permit.kind !== PermitKind.Wait) return { slot, permit };
    slot.release(UNUSED_SLOT);
    yield* settle(waitForPermit(context, request));
  }
}

/** Returns why a request must not be sent: it has ended, or its content crashes servers. */
function findRefusal({ crashes }: RunContext, request: OwnedRequest): SchedulerError | undefined {
  const { record, contentId } = request;
  if (record.isFinal) return record.error ?? new SchedulerError(ErrorKind.Cancelled);
  return crashes.findRefusal(contentId);
}

/** Waits until another request with the same content has shown whether it crashes servers. */
function waitForPermit({ crashes }: RunContext, request: OwnedRequest): Promise<void> {
  const { signal, contentId } = request;
  return new Promise((resolve, reject) => {
    const stopWaiting = crashes.waitForPermit(contentId, resolve);
    const abort = (): void => {
      stopWaiting();
      reject(request.record.error ?? new SchedulerError(ErrorKind.Cancelled));
    };
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, { once: true });
  });
}

function* useSlot(
  context: RunContext,
  request: OwnedRequest,
  call: OwnedCall,
  slot: Slot,
  deadlineAtMs: number,
): Step<AttemptResult> {
  request.record.transitionTo(RequestState.Dispatching);
  const startedAtMs = context.clock.nowMs();
  let result: AttemptResult | undefined;
  try {
    result = yield* new Attempt(context, request, call, slot, deadlineAtMs).run();
    reportRun(context, request, { slot, result, startedAtMs });
    return result;
  } finally {
    slot.release(result?.use ?? { ...UNUSED_SLOT, outcome: SlotOutcome.Failed });
  }
}

/**
 * Reports to the crash quarantine that the attempt was answered, or that the server was lost.
 * The quarantine probes a lost server to tell a crash from a failed request. Losses at a
 * draining server are not reported, as it is expected to end.
 */
function reportRun(
  { crashes, membership, clock }: RunContext,
  { contentId, record }: OwnedRequest,
  run: { readonly slot: Slot; readonly result: AttemptResult; readonly startedAtMs: number },
): void {
  const { slot, result, startedAtMs } = run;
  const { id: serverId, url } = slot.backendServer;
  const { hasSucceeded } = result;
  if (!result.error) crashes.recordAnswer({ contentId, serverId, startedAtMs, hasSucceeded });
  const wasLost = record.isHandedOver && result.use.outcome === SlotOutcome.Failed;
  if (!wasLost || membership.isBackendServerLeaving(serverId)) return;
  const address = formatAddress(url);
  crashes.recordLostRun({ contentId, serverId, address, startedAtMs, endedAtMs: clock.nowMs() });
}

/** Throws if a request whose body was never sent must not be attempted again. */
function checkMayRetry(
  context: RunContext,
  request: OwnedRequest,
  result: AttemptResult,
  limits: { readonly attempt: number; readonly deadlineAtMs: number },
): void {
  const nowMs = context.clock.nowMs();
  if (request.record.isFinal) throw request.record.error ?? new SchedulerError(ErrorKind.Cancelled);
  if (nowMs >= limits.deadlineAtMs) throw new SchedulerError(ErrorKind.DeadlineExpired);
  if (context.ledger.isExpired(request.record.id, context.clock.wallMs())) {
    throw new SchedulerError(ErrorKind.RequestIdExpired, {
      message: 'Cannot dispatch the call: its request ID expired first',
    });
  }
  const isLast = limits.attempt >= MAX_ATTEMPTS || !context.retries.takeRetry(nowMs);
  if (isLast && result.error) throw result.error;
}

function predictOutputTokens(context: RunContext, call: OwnedCall, prompt: PromptInfo): number {
  const { work, account } = call;
  const predicted = context.outputs.predict(
    account.accountId,
    work.kind,
    work.expectedOutputTokens,
  );
  return Math.ceil(Math.min(predicted, prompt.maxOutputTokens ?? predicted));
}

function recordOutputTokens(context: RunContext, call: OwnedCall, outputTokens: number): void {
  const { work, account } = call;
  context.outputs.observe(account.accountId, work.kind, outputTokens, work.expectedOutputTokens);
}
