/**
 * Picks backend servers for the calls of one service.
 *
 * @module
 */
import { pickServer } from '../../domain/backend_servers/mod.js';
import type { Candidate } from '../../domain/backend_servers/mod.js';
import { HoldTimeAverage } from '../../domain/direct/mod.js';
import { listOpenServers } from './_service_capacity.js';
import type { DispatchPass } from './_service_capacity.js';
import type { QueuedCall, ServiceQueueOptions } from './service_queue_options.js';

/** What a choice takes from its circumstances. */
export interface PickLimits {
  /** Calls that wait here and compete for the same slots. */
  readonly ownWaitingCalls: number;
  /** Servers that the call must not be sent to. Default: those that it was sent to already. */
  readonly excluded?: ReadonlySet<string>;
  /** Pass over the queue in which the choice is made, if any. */
  readonly pass?: DispatchPass;
}

/** Picks backend servers for the calls of one service. */
export class SlotPicker {
  readonly #options: ServiceQueueOptions;

  readonly #holdTime = new HoldTimeAverage();

  /** @param options - dependencies of the queue */
  constructor(options: ServiceQueueOptions) {
    this.#options = options;
  }

  /** Average time for which a request holds a slot, in milliseconds. */
  get averageHoldMs(): number {
    return this.#holdTime.averageMs;
  }

  /** @param heldMs - time for which a request held its slot, in milliseconds */
  recordHold(heldMs: number): void {
    this.#holdTime.record(heldMs);
  }

  /** @returns the open servers, found once for all calls of a pass: most passes serve few of them */
  startPass(): DispatchPass {
    const { clock, listCandidates, getPeerUrgency } = this.#options;
    const candidates = listCandidates();
    const open = listOpenServers(candidates, clock.nowMs());
    return { candidates, open, peerUrgency: getPeerUrgency() };
  }

  /**
   * @param pass - a pass in which a slot was taken, or the usable servers may have changed
   * @returns the pass with the servers that are open now
   */
  refreshPass(pass: DispatchPass): DispatchPass {
    const { clock, listCandidates } = this.#options;
    if (listCandidates() !== pass.candidates) return this.startPass();
    return { ...pass, open: listOpenServers(pass.open, clock.nowMs()) };
  }

  /**
   * @param call - a call
   * @param limits - circumstances of the choice
   * @returns the server that may be sent the call; undefined if there is none
   */
  pick(
    call: QueuedCall,
    { ownWaitingCalls, excluded = call.excluded, pass }: PickLimits,
  ): Candidate | undefined {
    const { work, expectedTokens, answerTimeFactor, deadlineAtMs, regions, origin } = call;
    const { clock, random, listCandidates, countWaitingAtPeers, getPeerUrgency } = this.#options;
    const nowMs = clock.nowMs();
    return pickServer(pass?.candidates ?? listCandidates(), {
      work,
      expectedTokens,
      // A server counts as in time only if an answer that varies as usual is.
      timeLeftMs: (deadlineAtMs - nowMs) / answerTimeFactor,
      excluded,
      regions,
      origin,
      nowMs,
      nextFraction: () => random.nextFraction(),
      contention: {
        holdMs: this.#holdTime.averageMs,
        ownWaitingCalls,
        peerWaitingCalls: countWaitingAtPeers(),
        isPeerMoreUrgent: (pass?.peerUrgency ?? getPeerUrgency()) < call.rank,
      },
      open: pass?.open,
    });
  }
}
