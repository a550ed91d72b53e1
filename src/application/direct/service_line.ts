/**
 * Gives calls of one service to its backend servers, or has them wait.
 *
 * @module
 */
import { pickServer } from '../../domain/backend_servers/mod.js';
import type { Candidate, RequestWork } from '../../domain/backend_servers/mod.js';
import { computeUrgency, WaitingLine, WaitOutlook } from '../../domain/direct/mod.js';
import type { WaitingCall } from '../../domain/direct/mod.js';
import type { Regions } from '../../domain/places/mod.js';
import type { Clock, RandomSource, Timer } from '../../ports/mod.js';

/** Time between two looks at the waiting calls, in milliseconds; fine against aims of 100 ms and more. */
const CHECK_INTERVAL_MS = 15;

/** Time over which freed slots are counted, in milliseconds. */
const FREED_WINDOW_MS = 2_000;

/**
 * Slots taken to get free in that time where fewer were seen. With too few seen, a
 * call would be refused that only had to wait for a moment; one that waits in vain
 * is refused in time to be in time elsewhere.
 */
const MIN_FREED_SLOTS = 20;

/** Part of each sample in the average time that a slot is held. */
const HOLD_TIME_ALPHA = 0.1;

/** That time before anything was learnt, in milliseconds: of the order of a short answer. */
const INITIAL_HOLD_MS = 200;

/** A call as the line sees it. */
export interface QueuedCall extends WaitingCall {
  readonly work: RequestWork;
  /** Output tokens that it is expected to have. */
  readonly expectedTokens: number;
  /** When its caller or its route gives up, on the monotonic clock. */
  readonly deadlineAtMs: number;
  /** Backend servers that it was sent to already. */
  readonly excluded: ReadonlySet<string>;
  /** Regions that it may be sent to. */
  readonly regions: Regions;
  /** @param candidate - the backend server that it is to be sent to now */
  grant(candidate: Candidate): void;
  /** It can't be started in time. @param clearMs - predicted wait for a slot, in milliseconds */
  shed(clearMs: number): void;
}

/** What a line needs. */
export interface ServiceQueueOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** @returns backend servers that may be given work */
  readonly listCandidates: () => readonly Candidate[];
  /** Called when a call begins to wait. */
  readonly onWaiting: () => void;
  /** Gives a freed slot to the entry host whose call goes first; ends in {@link ServiceQueue.dispatchWaiting} here. */
  readonly forwardFreedSlot: (serverId: string) => void;
  /** @returns calls that wait for the same slots at peers */
  readonly countWaitingAtPeers: () => number;
}

/** The waiting calls of one service at this entry host. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;

  readonly #queue = new WaitingLine<QueuedCall>();

  readonly #outlook = new WaitOutlook();

  /** When slots got free, oldest first. */
  readonly #freedAtMs: number[] = [];

  #averageHoldMs = INITIAL_HOLD_MS;

  #timer: Timer | undefined;

  /** @param options - what the line needs */
  constructor(options: ServiceQueueOptions) {
    this.#options = options;
  }

  /** Calls that wait. */
  get size(): number {
    return this.#queue.size;
  }

  /** Urgency of the first call that waits; Infinity when none does. */
  get firstUrgency(): number {
    return this.#queue.firstUrgency;
  }

  /** @param call - granted at once, made to wait, or given up */
  submit(call: QueuedCall): void {
    if (this.#queue.countAhead(call) === 0 && this.#tryDispatch(call)) return;
    const estimatedWaitMs = this.#estimateWaitMs(call);
    const nowMs = this.#options.clock.nowMs();
    if (!this.#isWaitWorthwhile(call)) {
      // There will be no room for as long as it could wait, whatever the line here looks like.
      call.shed(Math.max(estimatedWaitMs, call.startByMs - nowMs));
      return;
    }
    if (nowMs + estimatedWaitMs > call.startByMs) {
      call.shed(estimatedWaitMs);
      return;
    }
    this.#queue.add(call);
    this.#options.onWaiting();
    this.#scheduleCheck();
  }

  /** @param call - waits no more */
  remove(call: QueuedCall): void {
    this.#queue.remove(call);
  }

  /**
   * Takes note that one of this entry host's requests has given its slot back.
   *
   * @param serverId - life of the backend server
   * @param heldMs - how long it held the slot, in milliseconds
   */
  handleSlotFreed(serverId: string, heldMs: number): void {
    this.#averageHoldMs += HOLD_TIME_ALPHA * (heldMs - this.#averageHoldMs);
    this.#freedAtMs.push(this.#options.clock.nowMs());
    this.#dropOldFreed();
    this.#options.forwardFreedSlot(serverId);
  }

  /** Gives free slots to waiting calls. */
  dispatchWaiting(): void {
    if (this.#queue.size === 0) return;
    let freeSlots = this.#countFreeSlots();
    if (freeSlots === 0) return;
    for (const call of [...this.#queue.list()]) {
      const candidate = this.#pickCandidate(call, this.#queue.size);
      // A grant may end other calls: each is asked for again when its turn comes.
      if (candidate && this.#queue.remove(call)) {
        this.#outlook.note(computeUrgency(call), true, this.#options.clock.nowMs());
        call.grant(candidate);
        freeSlots -= 1;
      }
      if (freeSlots <= 0) return;
    }
  }

  /** Gives up calls that can't be started in time any more. */
  shedExpired(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#queue.takeExpired(nowMs).forEach((call) => {
      this.#outlook.note(computeUrgency(call), false, nowMs);
      call.shed(this.#estimateWaitMs(call));
    });
  }

  #isWaitWorthwhile(call: QueuedCall): boolean {
    const { clock, random } = this.#options;
    return this.#outlook.isWorthwhile(computeUrgency(call), clock.nowMs(), random.nextFraction());
  }

  /** Predicted wait of a call that doesn't wait yet, in milliseconds. */
  #estimateWaitMs(call: QueuedCall): number {
    this.#dropOldFreed();
    const msPerFreedSlot = FREED_WINDOW_MS / Math.max(MIN_FREED_SLOTS, this.#freedAtMs.length);
    return (this.#queue.countAhead(call) + 1) * msPerFreedSlot;
  }

  #dropOldFreed(): void {
    dropOlderThan(this.#freedAtMs, this.#options.clock.nowMs() - FREED_WINDOW_MS);
  }

  #countFreeSlots(): number {
    const nowMs = this.#options.clock.nowMs();
    return this.#options
      .listCandidates()
      .reduce((sum, { load }) => sum + load.countOpenSlots(nowMs), 0);
  }

  #tryDispatch(call: QueuedCall): boolean {
    // Whoever waits here comes after this call: a free slot is its own at once.
    const candidate = this.#pickCandidate(call, 0);
    if (candidate) call.grant(candidate);
    return candidate !== undefined;
  }

  #pickCandidate(
    { work, expectedTokens, deadlineAtMs, excluded, regions }: QueuedCall,
    ownWaiting: number,
  ): Candidate | undefined {
    const {
      clock,
      random,
      listCandidates,
      countWaitingAtPeers: countWaitingElsewhere,
    } = this.#options;
    const nowMs = clock.nowMs();
    return pickServer(listCandidates(), {
      work,
      expectedTokens,
      timeLeftMs: deadlineAtMs - nowMs,
      excluded,
      regions,
      nowMs,
      nextFraction: () => random.nextFraction(),
      rivalry: {
        holdMs: this.#averageHoldMs,
        ownWaiting,
        waitingElsewhere: countWaitingElsewhere(),
      },
    });
  }

  #scheduleCheck(): void {
    if (this.#timer) return;
    this.#timer = this.#options.clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.shedExpired();
      this.dispatchWaiting();
      if (this.#queue.size > 0) this.#scheduleCheck();
    });
  }
}

function dropOlderThan(timesMs: number[], oldestMs: number): void {
  while ((timesMs[0] ?? Infinity) < oldestMs) timesMs.shift();
}
