/**
 * Simulates entry hosts that share the limits of one client account in virtual time. Links can
 * lose and delay messages and be cut; entry hosts can be paused and restarted.
 *
 * @module
 */
import { AllowanceManager } from '../../src/application/allowances/mod.js';
import type { Admission } from '../../src/application/views/mod.js';
import type { AccountContract, AccountLimits } from '../../src/domain/contracts/types.js';
import { SchedulerError } from '../../src/domain/errors/mod.js';
import { pickAllowanceLender } from '../../src/domain/limits/mod.js';
import { PeerState } from '../../src/domain/membership/mod.js';
import type { EntryHostIdentity } from '../../src/domain/membership/mod.js';
import type { PeerMessage, Timer } from '../../src/ports/mod.js';
import {
  CallbackClock,
  CallbackNetwork,
  FakeConfiguration,
  FakeMembership,
} from './allowance_fakes.js';
import type { MessageHandlers } from './allowance_fakes.js';
import { buildIdentity } from './fake_peer_network.js';
import { FakeLog, FakeMetrics, SeededRandom } from './fakes.js';

/** Duration of a cut after which each entry host suspects the other, in milliseconds. */
const SUSPECT_AFTER_MS = 2000;

/** ID of the only client account. */
export const ACCOUNT_ID = 'firm-a';

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly host: string;
  readonly run: () => void;
}

/** One entry host of {@link AllowanceHosts}. */
interface Host {
  readonly identity: EntryHostIdentity;
  readonly manager: AllowanceManager;
  readonly handlers: MessageHandlers;
  readonly running: Set<Admission>;
  pausedUntilMs: number;
}

/** An admitted request. */
export interface AdmittedRequest {
  readonly atMs: number;
  readonly host: string;
  readonly tokens: number;
}

/** Options of {@link AllowanceHosts}. */
export interface AllowanceHostsOptions {
  readonly ids: readonly string[];
  readonly limits: AccountLimits;
  /** Seed of the random numbers. Default: 1. */
  readonly seed?: number;
  /** Fraction of the messages that is lost. Default: 0. */
  readonly loss?: number;
  /** Longest delay of a message in milliseconds; at least 1. Default: 1. */
  readonly maxDelayMs?: number;
}

/** A simulation of entry hosts in virtual time. */
export class AllowanceHosts {
  readonly admitted: AdmittedRequest[] = [];

  readonly refused: SchedulerError[] = [];

  messageCount = 0;

  nowMs = 0;

  /** Highest number of requests in flight at the same time. */
  maxRunning = 0;

  readonly #account: AccountContract;

  readonly #hosts = new Map<string, Host>();

  readonly #random: SeededRandom;

  /** Time at which the link of each pair of entry hosts was cut. */
  readonly #cutSinceMs = new Map<string, number>();

  /** Arrival time of the last message of each link, by sender and receiver. */
  readonly #lastArrivalsMs = new Map<string, number>();

  #events: ScheduledEvent[] = [];

  #lastOrder = 0;

  /** Host list that each entry host sees, by its ID; by default all see all hosts. */
  readonly listed = new Map<string, readonly string[]>();

  /** @param options - options of the simulation */
  constructor(readonly options: AllowanceHostsOptions) {
    this.#random = new SeededRandom(options.seed);
    this.#account = {
      accountId: ACCOUNT_ID,
      keyHashes: [],
      weight: 1,
      limits: options.limits,
      longestDeadlineMs: 60_000,
      work: [],
    };
    options.ids.forEach((id) => this.start(id));
  }

  /** ID of the entry host that is the allowance lender of the account. */
  get lender(): string {
    return pickAllowanceLender(ACCOUNT_ID, this.options.ids) ?? '';
  }

  /** Number of requests in flight. */
  get running(): number {
    return [...this.#hosts.values()].reduce((sum, { running }) => sum + running.size, 0);
  }

  /** Starts an entry host, or restarts it without its earlier state and requests. */
  start(id: string): void {
    this.#hosts.get(id)?.manager.stop();
    this.#events = this.#events.filter((event) => event.host !== id);
    this.#lastOrder += 1;
    const identity = buildIdentity(id, `${id}-${this.#lastOrder}`);
    const handlers: MessageHandlers = new Map();
    const manager = new AllowanceManager({
      clock: new CallbackClock(
        () => this.nowMs,
        (delayMs, callback) => this.#setTimer(id, delayMs, callback),
      ),
      log: new FakeLog(),
      metrics: new FakeMetrics(),
      configuration: new FakeConfiguration(this.#account),
      membership: this.#buildMembership(identity),
      peers: new CallbackNetwork(handlers, (incarnation, message) =>
        this.#forward(identity, incarnation, structuredClone(message)),
      ),
    });
    this.#hosts.set(id, {
      identity,
      manager,
      handlers,
      running: new Set(),
      pausedUntilMs: 0,
    });
    manager.start();
  }

  /** Pauses an entry host: its timers and messages are delayed until the end of the pause. */
  setPaused(id: string, forMs: number): void {
    const host = this.#hosts.get(id);
    if (host) host.pausedUntilMs = this.nowMs + forMs;
  }

  /** Cuts or restores the link between two entry hosts. */
  setCut(a: string, b: string, isCut: boolean): void {
    const pair = [a, b].sort().join('|');
    if (!isCut) this.#cutSinceMs.delete(pair);
    else if (!this.#cutSinceMs.has(pair)) this.#cutSinceMs.set(pair, this.nowMs);
  }

  /** Sends one request to an entry host. @returns whether it was admitted */
  sendRequest(id: string, tokens: number, runMs: number): boolean {
    const host = this.#hosts.get(id);
    if (!host || host.pausedUntilMs > this.nowMs) return false;
    try {
      const admission = host.manager.admit(this.#account, tokens);
      host.running.add(admission);
      this.#schedule(id, runMs, () => {
        host.running.delete(admission);
        admission.release(tokens);
      });
    } catch (error) {
      if (!(error instanceof SchedulerError)) throw error;
      this.refused.push(error);
      return false;
    }
    this.admitted.push({ atMs: this.nowMs, host: id, tokens });
    this.maxRunning = Math.max(this.maxRunning, this.running);
    return true;
  }

  /** Advances the virtual time and runs all events that are due. */
  advance(byMs: number): void {
    const endMs = this.nowMs + byMs;
    for (let event = this.#removeNextDue(endMs); event; event = this.#removeNextDue(endMs)) {
      this.nowMs = Math.max(this.nowMs, event.atMs);
      event.run();
    }
    this.nowMs = endMs;
  }

  #removeNextDue(endMs: number): ScheduledEvent | undefined {
    const computeDueMs = (event: ScheduledEvent): number =>
      Math.max(event.atMs, this.#hosts.get(event.host)?.pausedUntilMs ?? 0);
    let next: ScheduledEvent | undefined;
    this.#events.forEach((event) => {
      if (computeDueMs(event) > endMs) return;
      const isEarlier =
        !next ||
        computeDueMs(event) < computeDueMs(next) ||
        (computeDueMs(event) === computeDueMs(next) && event.order < next.order);
      if (isEarlier) next = event;
    });
    if (!next) return undefined;
    const removed = next;
    this.#events = this.#events.filter((event) => event !== removed);
    return { ...removed, atMs: computeDueMs(removed) };
  }

  #setTimer(id: string, delayMs: number, callback: () => void): Timer {
    const event = this.#schedule(id, delayMs, callback);
    return {
      cancel: () => {
        this.#events = this.#events.filter((other) => other !== event);
      },
    };
  }

  #schedule(host: string, delayMs: number, run: () => void): ScheduledEvent {
    this.#lastOrder += 1;
    const event = { atMs: this.nowMs + delayMs, order: this.#lastOrder, host, run };
    this.#events.push(event);
    return event;
  }

  #buildMembership(self: EntryHostIdentity): FakeMembership {
    return new FakeMembership(self, {
      listEntryHosts: () =>
        [...this.#hosts.values()].map(({ identity }) => ({
          identity,
          state: this.#isSuspected(self.id, identity.id) ? PeerState.Suspected : PeerState.Live,
          silentMs: 0,
        })),
      listListedIds: () => this.listed.get(self.id) ?? this.options.ids,
    });
  }

  #isSuspected(a: string, b: string): boolean {
    const sinceMs = this.#cutSinceMs.get([a, b].sort().join('|'));
    return sinceMs !== undefined && this.nowMs - sinceMs >= SUSPECT_AFTER_MS;
  }

  #forward(from: EntryHostIdentity, incarnation: string, message: PeerMessage): boolean {
    const target = [...this.#hosts.values()].find(
      ({ identity }) => identity.incarnation === incarnation,
    );
    if (!target) return false;
    this.messageCount += 1;
    const { id } = target.identity;
    const isCut = this.#cutSinceMs.has([from.id, id].sort().join('|'));
    if (isCut || this.#random.nextFraction() < (this.options.loss ?? 0)) return true;
    const delayMs = 1 + this.#random.nextFraction() * ((this.options.maxDelayMs ?? 1) - 1);
    // Messages of one link arrive in the order in which they were sent.
    const link = `${from.incarnation}>${incarnation}`;
    const atMs = Math.max(this.nowMs + delayMs, this.#lastArrivalsMs.get(link) ?? 0);
    this.#lastArrivalsMs.set(link, atMs);
    this.#schedule(id, atMs - this.nowMs, () => {
      target.handlers.get(message.type)?.(from, message as never);
    });
    return true;
  }
}

/**
 * Computes the largest amount by which the admissions in any window exceed a rate.
 *
 * @param events - time and amount of each admission, in order of time
 * @param ratePerSecond - the rate
 * @returns the largest excess over all windows
 */
export function computeLargestBurst(
  events: readonly { readonly atMs: number; readonly amount: number }[],
  ratePerSecond: number,
): number {
  let largestExcess = 0;
  let excess = 0;
  let lastMs = 0;
  events.forEach(({ atMs, amount }) => {
    excess = Math.max(0, excess - (ratePerSecond * (atMs - lastMs)) / 1000) + amount;
    lastMs = atMs;
    largestExcess = Math.max(largestExcess, excess);
  });
  return largestExcess;
}
