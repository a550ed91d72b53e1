/**
 * Waits for a slot on behalf of an owner, and stops waiting when this process is isolated.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { Clock, Timer } from '../../ports/mod.js';
import type { MembershipView, Slot, SlotSource, SlotRequest } from '../views/mod.js';

/**
 * Time without a fresh membership view after which waiting requests are refused, in
 * milliseconds.
 */
const ISOLATION_TIMEOUT_MS = 2000;
const CHECK_INTERVAL_MS = 250;

/** Dependencies of the wait. */
export interface SlotWaitContext {
  readonly clock: Clock;
  readonly membership: MembershipView;
  readonly slots: SlotSource;
}

/**
 * Waits for a slot, and fails when this process is isolated. After a pause of the
 * process nothing may be dispatched until a peer or the host list has responded.
 * Without this check an isolated process would hold its requests until their
 * deadlines, although the refusal is certain long before.
 *
 * @param context - dependencies of the wait
 * @param slotRequest - what the slot is for
 * @returns the slot
 * @throws SchedulerError with run outcome `not_run`
 */
export async function waitForSlot(
  context: SlotWaitContext,
  slotRequest: SlotRequest,
): Promise<Slot> {
  const isolation = new AbortController();
  const freshnessCheck = startFreshnessCheck(context, isolation);
  const signal = AbortSignal.any([slotRequest.signal, isolation.signal]);
  try {
    return await context.slots.acquire({ ...slotRequest, signal });
  } catch (error) {
    if (!isolation.signal.aborted) throw error;
    throw new SchedulerError(ErrorKind.EntryHostCutOff, {
      message: 'Cannot dispatch: this entry host reaches neither its peers nor the host list',
      cause: error,
    });
  } finally {
    freshnessCheck.cancel();
  }
}

function startFreshnessCheck(
  { clock, membership }: SlotWaitContext,
  isolation: AbortController,
): Timer {
  let lastFreshAtMs = clock.nowMs();
  let timer: Timer;
  const check = (): void => {
    if (membership.isFresh()) lastFreshAtMs = clock.nowMs();
    if (clock.nowMs() - lastFreshAtMs >= ISOLATION_TIMEOUT_MS) isolation.abort();
    else timer = clock.setTimer(CHECK_INTERVAL_MS, check);
  };
  timer = clock.setTimer(CHECK_INTERVAL_MS, check);
  return {
    cancel: () => timer.cancel(),
  };
}
