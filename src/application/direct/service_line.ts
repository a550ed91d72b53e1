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
const LOOK_INTERVAL_MS = 15;

/** Time over which freed slots are counted, in milliseconds. */
const RATE_WINDOW_MS = 2_000;

/**
 * Slots taken to get free in that time where fewer were seen. With too few seen, a
 * call would be refused that only had to wait for a moment; one that waits in vain
 * is refused in time to be in time elsewhere.
 */
const MIN_FREED = 20;

/** Part of each sample in the average time that a slot is held. */
const HOLD_ALPHA = 0.1;

/** That time before anything was learnt, in milliseconds: of the order of a short answer. */
const START_HOLD_MS = 200;

/** A call as the line sees it. */
export interface LineCall extends WaitingCall {
  readonly work: RequestWork;
  /** Output tokens that it is expected to have. */
  readonly expectedTokens: number;
  /** When its caller or its route gives up, on the monotonic clock. */
  readonly endsAtMs: number;
  /** Backend servers that it was sent to already. */
  readonly excluded: ReadonlySet<string>;
  /** Regions that it may be sent to. */
  readonly regions: Regions;
  /** @param candidate - the backend server that it is to be sent to now */
  grant(candidate: Candidate): void;
  /** It can't be started in time. @param clearMs - predicted wait for a slot, in milliseconds */
  giveUp(clearMs: number): void;
}

/** What a line needs. */
export interface ServiceLineOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** @returns backend servers that may be given work */
  readonly listCandidates: () => readonly Candidate[];
  /** Called when a call begins to wait. */
  readonly noteWaiting: () => void;
  /** Gives a freed slot to the entry host whose call goes first; ends in {@link ServiceLine.advance} here. */
  readonly passFreed: (serverId: string) => void;
  /** @returns calls that wait for the same slots at peers */
  readonly countWaitingElsewhere: () => number;
}

/** The waiting calls of one service at this entry host. */
export class ServiceLine {
  readonly #options: ServiceLineOptions;

  readonly #line = new WaitingLine<LineCall>();

  readonly #outlook = new WaitOutlook();

  /** When slots got free, oldest first. */
  readonly #freedAtMs: number[] = [];

  #holdMs = START_HOLD_MS;

  #timer: Timer | undefined;

  /** @param options - what the line needs */
  constructor(options: ServiceLineOptions) {
    this.#options = options;
  }

  /** Calls that wait. */
  get size(): number {
    return this.#line.size;
  }

  /** Urgency of the first call that waits; Infinity when none does. */
  get firstUrgency(): number {
    return this.#line.firstUrgency;
  }

  /** @param call - granted at once, made to wait, or given up */
  submit(call: LineCall): void {
    if (this.#line.countAhead(call) === 0 && this.#grant(call)) return;
    const clearMs = this.#predictWaitMs(call);
    const nowMs = this.#options.clock.nowMs();
    if (!this.#isWorthwhile(call)) {
      // There will be no room for as long as it could wait, whatever the line here looks like.
      call.giveUp(Math.max(clearMs, call.startByMs - nowMs));
      return;
    }
    if (nowMs + clearMs > call.startByMs) {
      call.giveUp(clearMs);
      return;
    }
    this.#line.add(call);
    this.#options.noteWaiting();
    this.#schedule();
  }

  /** @param call - waits no more */
  remove(call: LineCall): void {
    this.#line.remove(call);
  }

  /**
   * Takes note that one of this entry host's requests has given its slot back.
   *
   * @param serverId - life of the backend server
   * @param heldMs - how long it held the slot, in milliseconds
   */
  noteFreed(serverId: string, heldMs: number): void {
    this.#holdMs += HOLD_ALPHA * (heldMs - this.#holdMs);
    this.#freedAtMs.push(this.#options.clock.nowMs());
    this.#dropOldFreed();
    this.#options.passFreed(serverId);
  }

  /** Gives free slots to waiting calls. */
  advance(): void {
    if (this.#line.size === 0) return;
    let freeSlots = this.#countFreeSlots();
    if (freeSlots === 0) return;
    for (const call of [...this.#line.list()]) {
      const candidate = this.#pick(call, this.#line.size);
      // A grant may end other calls: each is asked for again when its turn comes.
      if (candidate && this.#line.remove(call)) {
        this.#outlook.note(computeUrgency(call), true, this.#options.clock.nowMs());
        call.grant(candidate);
        freeSlots -= 1;
      }
      if (freeSlots <= 0) return;
    }
  }

  /** Gives up calls that can't be started in time any more. */
  expire(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#line.takeExpired(nowMs).forEach((call) => {
      this.#outlook.note(computeUrgency(call), false, nowMs);
      call.giveUp(this.#predictWaitMs(call));
    });
  }

  #isWorthwhile(call: LineCall): boolean {
    const { clock, random } = this.#options;
    return this.#outlook.isWorthwhile(computeUrgency(call), clock.nowMs(), random.nextFraction());
  }

  /** Predicted wait of a call that doesn't wait yet, in milliseconds. */
  #predictWaitMs(call: LineCall): number {
    this.#dropOldFreed();
    const perFreedMs = RATE_WINDOW_MS / Math.max(MIN_FREED, this.#freedAtMs.length);
    return (this.#line.countAhead(call) + 1) * perFreedMs;
  }

  #dropOldFreed(): void {
    dropOlder(this.#freedAtMs, this.#options.clock.nowMs() - RATE_WINDOW_MS);
  }

  #countFreeSlots(): number {
    const nowMs = this.#options.clock.nowMs();
    return this.#options
      .listCandidates()
      .reduce((sum, { load }) => sum + load.countOpenSlots(nowMs), 0);
  }

  #grant(call: LineCall): boolean {
    // Whoever waits here comes after this call: a free slot is its own at once.
    const candidate = this.#pick(call, 0);
    if (candidate) call.grant(candidate);
    return candidate !== undefined;
  }

  #pick(
    { work, expectedTokens, endsAtMs, excluded, regions }: LineCall,
    ownWaiting: number,
  ): Candidate | undefined {
    const { clock, random, listCandidates, countWaitingElsewhere } = this.#options;
    const nowMs = clock.nowMs();
    return pickServer(listCandidates(), {
      work,
      expectedTokens,
      timeLeftMs: endsAtMs - nowMs,
      excluded,
      regions,
      nowMs,
      nextFraction: () => random.nextFraction(),
      rivalry: {
        holdMs: this.#holdMs,
        ownWaiting,
        waitingElsewhere: countWaitingElsewhere(),
      },
    });
  }

  #schedule(): void {
    if (this.#timer) return;
    this.#timer = this.#options.clock.setTimer(LOOK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.expire();
      this.advance();
      if (this.#line.size > 0) this.#schedule();
    });
  }
}

function dropOlder(momentsMs: number[], oldestMs: number): void {
  while ((momentsMs[0] ?? Infinity) < oldestMs) momentsMs.shift();
}
