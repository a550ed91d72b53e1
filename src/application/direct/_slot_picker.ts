/**
 * Picks backend servers for the calls of one service.
 *
 * @module
 */
import { pickServer } from '../../domain/backend_servers/mod.js';
import type { Candidate } from '../../domain/backend_servers/mod.js';
import { computeUrgency } from '../../domain/direct/mod.js';
import { listOpenServers } from './_service_capacity.js';
import type { QueueTurn } from './_service_capacity.js';
import type { QueuedCall, ServiceQueueOptions } from './service_queue_options.js';

/** Weight of each sample in the moving average of the time for which a slot is held. */
const HOLD_TIME_ALPHA = 0.1;

/** Initial value of that average, in milliseconds: about the duration of a short answer. */
const INITIAL_HOLD_MS = 200;

/** What a choice takes from its circumstances. */
export interface PickLimits {
  /** Calls that wait here and compete for the same slots. */
  readonly ownWaitingCalls: number;
  /** Servers that the call must not be sent to. Default: those that it was sent to already. */
  readonly excluded?: ReadonlySet<string>;
  /** Turn of the queue in which the choice is made, if any. */
  readonly turn?: QueueTurn;
}

/** Picks backend servers for the calls of one service. */
export class SlotPicker {
  readonly #options: ServiceQueueOptions;

  #averageHoldMs = INITIAL_HOLD_MS;

  #holdCount = 0;

  /** @param options - dependencies of the queue */
  constructor(options: ServiceQueueOptions) {
    this.#options = options;
  }

  /** Average time for which a request holds a slot, in milliseconds. */
  get averageHoldMs(): number {
    return this.#averageHoldMs;
  }

  /** @param heldMs - time for which a request held its slot, in milliseconds */
  recordHold(heldMs: number): void {
    this.#holdCount += 1;
    // The average of few samples is their plain mean.
    const weight = Math.max(HOLD_TIME_ALPHA, 1 / (this.#holdCount + 1));
    this.#averageHoldMs += weight * (heldMs - this.#averageHoldMs);
  }

  /** @returns the open servers, found once for all calls of a turn: most turns serve few of them */
  startTurn(): QueueTurn {
    const { clock, listCandidates, getPeerUrgency } = this.#options;
    const candidates = listCandidates();
    const open = listOpenServers(candidates, clock.nowMs());
    return { candidates, open, peerUrgency: getPeerUrgency() };
  }

  /**
   * @param turn - a turn in which a slot was taken, or the usable servers may have changed
   * @returns the turn with the servers that are open now
   */
  continueTurn(turn: QueueTurn): QueueTurn {
    const { clock, listCandidates } = this.#options;
    if (listCandidates() !== turn.candidates) return this.startTurn();
    return { ...turn, open: listOpenServers(turn.open, clock.nowMs()) };
  }

  /**
   * @param call - a call
   * @param limits - circumstances of the choice
   * @returns the server that may be sent the call; undefined if there is none
   */
  pick(
    call: QueuedCall,
    { ownWaitingCalls, excluded = call.excluded, turn }: PickLimits,
  ): Candidate | undefined {
    const { work, expectedTokens, deadlineAtMs, regions, origin } = call;
    const { clock, random, listCandidates, countWaitingAtPeers, getPeerUrgency } = this.#options;
    const nowMs = clock.nowMs();
    return pickServer(turn?.candidates ?? listCandidates(), {
      work,
      expectedTokens,
      timeLeftMs: deadlineAtMs - nowMs,
      targetLeftMs: call.targetAtMs - nowMs,
      excluded,
      regions,
      origin,
      nowMs,
      nextFraction: () => random.nextFraction(),
      contention: {
        holdMs: this.#averageHoldMs,
        ownWaitingCalls,
        peerWaitingCalls: countWaitingAtPeers(),
        isPeerMoreUrgent: (turn?.peerUrgency ?? getPeerUrgency()) < computeUrgency(call),
      },
      open: turn?.open,
    });
  }
}
