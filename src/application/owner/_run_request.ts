/**
 * The process that takes one owned request from admission to its end.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { RequestState } from '../../domain/requests/mod.js';
import type { OutputPredictor, RetryBudget } from '../../domain/scheduling/mod.js';
import { SlotOutcome } from '../../ports/mod.js';
import { settle } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';
import { formatAddress, PassKind } from '../crashes/mod.js';
import type { CrashKeeper, Pass } from '../crashes/mod.js';
import type { Admission, AllowanceSource, Slot, SlotSource, SlotWish } from '../views/mod.js';
import { Attempt } from './_attempt.js';
import type { AttemptContext, AttemptResult } from './_attempt.js';
import { acquireSlot } from './_slot_wait.js';
import { readPromptFacts } from './_prompt_facts.js';
import type { PromptFacts } from './_prompt_facts.js';
import type { OwnedCall } from './owned_call.js';
import type { OwnedRequest } from './owned_request.js';

const MAX_ATTEMPTS = 4;

/** What the process needs. */
export interface RunContext extends AttemptContext {
  readonly allowances: AllowanceSource;
  readonly crashes: CrashKeeper;
  readonly slots: SlotSource;
  readonly outputs: OutputPredictor;
  readonly retries: RetryBudget;
}

const UNUSED = { outcome: SlotOutcome.Unused, firstByteMs: 0, totalMs: 0, outputTokens: 0 };

/**
 * Runs a request to its end. Every way out ends the record and the answer.
 *
 * @param context - what it needs
 * @param request - the request, in state Accepted
 * @param call - its call
 */
export function* runRequest(
  context: RunContext,
  request: OwnedRequest,
  call: OwnedCall,
): Step<void> {
  const facts = readPromptFacts(call);
  const outputTokens = predictOutput(context, call, facts);
  let admission: Admission | undefined;
  let usedTokens = 0;
  try {
    const refusal = context.crashes.findRefusal(request.contentId);
    if (refusal) throw refusal;
    admission = context.allowances.admit(call.account, facts.promptTokens + outputTokens);
    request.record.advance(RequestState.Queued);
    const result = yield* runAttempts(context, request, call, facts, outputTokens);
    usedTokens = request.record.hasLeft ? facts.promptTokens + result.use.outputTokens : 0;
    if (result.error) request.fail(result.error);
    else observeOutput(context, call, result.use.outputTokens);
  } catch (error) {
    request.fail(
      error instanceof SchedulerError
        ? error
        : new SchedulerError(ErrorKind.Internal, {
            message: 'Cannot go on: internal fault',
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
  facts: PromptFacts,
  outputTokens: number,
): Step<AttemptResult> {
  const deadlineAtMs = context.clock.nowMs() + call.deadlineMs;
  const excluded: string[] = [];
  context.retries.noteAttempt();
  for (let attempt = 1; ; attempt += 1) {
    const { slot, pass } = yield* acquireTurn(context, request, {
      requestId: request.record.id.text,
      serviceId: call.service.id,
      accountId: call.account.accountId,
      weight: call.account.weight,
      tier: call.work.tier,
      deadlineAtMs,
      promptTokens: facts.promptTokens,
      expectedOutputTokens: outputTokens,
      blockHashes: facts.blockHashes,
      excluded,
      traceparent: call.traceparent,
      signal: request.signal,
    });
    const result = yield* useSlot(context, request, call, slot, deadlineAtMs);
    if (!request.record.hasLeft) pass.handBack();
    if (!result.mayRetry) return result;
    checkMayRetry(context, request, result, { attempt, deadlineAtMs });
    if (result.use.outcome === SlotOutcome.Refused) excluded.push(slot.backendServer.id);
    request.record.advance(RequestState.Queued);
  }
}

/** A slot, and leave to send a request there. */
interface Turn {
  readonly slot: Slot;
  readonly pass: Pass;
}

/** Waits for a slot, and again while another request of the same content is tried. */
function* acquireTurn(context: RunContext, request: OwnedRequest, wish: SlotWish): Step<Turn> {
  for (;;) {
    const slot: Slot = yield* settle(acquireSlot(context, wish));
    const refusal = findRefusal(context, request);
    if (refusal) {
      slot.release(UNUSED);
      throw refusal;
    }
    const pass = context.crashes.takePass(request.contentId);
    if (pass.kind !== PassKind.Wait) return { slot, pass };
    slot.release(UNUSED);
    yield* settle(waitForPass(context, request));
  }
}

/** Why a request must not be sent: it has ended meanwhile, or servers have ended under its like. */
function findRefusal({ crashes }: RunContext, request: OwnedRequest): SchedulerError | undefined {
  const { record, contentId } = request;
  if (record.isFinal) return record.error ?? new SchedulerError(ErrorKind.Cancelled);
  return crashes.findRefusal(contentId);
}

/** Waits while another request of its content shows whether that ends servers. */
function waitForPass({ crashes }: RunContext, request: OwnedRequest): Promise<void> {
  const { signal, contentId } = request;
  return new Promise((resolve, reject) => {
    const end = crashes.waitForPass(contentId, resolve);
    const abort = (): void => {
      end();
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
  request.record.advance(RequestState.Dispatching);
  const startedAtMs = context.clock.nowMs();
  let result: AttemptResult | undefined;
  try {
    result = yield* new Attempt(context, request, call, slot, deadlineAtMs).run();
    noteRun(context, request, { slot, result, startedAtMs });
    return result;
  } finally {
    slot.release(result?.use ?? { ...UNUSED, outcome: SlotOutcome.Failed });
  }
}

/** Whether a server has ended, or only failed the request, shows when it is tried. */
function noteRun(
  { crashes, membership, clock }: RunContext,
  { contentId, record }: OwnedRequest,
  run: { readonly slot: Slot; readonly result: AttemptResult; readonly startedAtMs: number },
): void {
  const { slot, result, startedAtMs } = run;
  const { id: serverId, url } = slot.backendServer;
  const { hasSucceeded } = result;
  if (!result.error) crashes.noteAnswered({ contentId, serverId, startedAtMs, hasSucceeded });
  const isLost = record.hasLeft && result.use.outcome === SlotOutcome.Failed;
  if (!isLost || membership.isBackendServerLeaving(serverId)) return;
  const address = formatAddress(url);
  crashes.noteLost({ contentId, serverId, address, startedAtMs, endedAtMs: clock.nowMs() });
}

/** Throws the reason why a call whose body never left is not tried again. */
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

function predictOutput(context: RunContext, call: OwnedCall, facts: PromptFacts): number {
  const { work, account } = call;
  const learnt = context.outputs.predict(account.accountId, work.kind, work.expectedOutputTokens);
  return Math.ceil(Math.min(learnt, facts.maxOutputTokens ?? learnt));
}

function observeOutput(context: RunContext, call: OwnedCall, outputTokens: number): void {
  const { work, account } = call;
  context.outputs.observe(account.accountId, work.kind, outputTokens, work.expectedOutputTokens);
}
