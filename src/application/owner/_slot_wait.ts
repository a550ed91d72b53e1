/**
 * The owner's wait for a slot.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { Clock, Timer } from '../../ports/mod.js';
import type { MembershipView, Slot, SlotSource, SlotWish } from '../views/mod.js';

/** How long this process may be without a fresh view before its waiting requests are refused. */
const CUT_OFF_PATIENCE_MS = 2000;
const CHECK_INTERVAL_MS = 250;

/** What the wait needs. */
export interface SlotWaitContext {
  readonly clock: Clock;
  readonly membership: MembershipView;
  readonly slots: SlotSource;
}

/**
 * Waits for a slot, and gives up when this process has lost touch. After a
 * pause nothing may be dispatched until somebody was heard; a process that
 * nobody answers would hold its requests to their deadlines, and their callers
 * would wait for an answer that is known long before.
 *
 * @param context - what the wait needs
 * @param wish - what the slot is for
 * @returns the slot
 * @throws SchedulerError that says `not_run`
 */
export async function acquireSlot(context: SlotWaitContext, wish: SlotWish): Promise<Slot> {
  const giveUp = new AbortController();
  const watch = watchCutOff(context, giveUp);
  const signal = AbortSignal.any([wish.signal, giveUp.signal]);
  try {
    return await context.slots.acquire({ ...wish, signal });
  } catch (error) {
    if (!giveUp.signal.aborted) throw error;
    throw new SchedulerError(ErrorKind.EntryHostCutOff, {
      message: 'Cannot dispatch: this entry host hears neither its peers nor the host list',
      cause: error,
    });
  } finally {
    watch.cancel();
  }
}

function watchCutOff({ clock, membership }: SlotWaitContext, giveUp: AbortController): Timer {
  let freshAtMs = clock.nowMs();
  let timer: Timer;
  const check = (): void => {
    if (membership.isFresh()) freshAtMs = clock.nowMs();
    if (clock.nowMs() - freshAtMs >= CUT_OFF_PATIENCE_MS) giveUp.abort();
    else timer = clock.setTimer(CHECK_INTERVAL_MS, check);
  };
  timer = clock.setTimer(CHECK_INTERVAL_MS, check);
  return {
    cancel: () => timer.cancel(),
  };
}
