/**
 * Simulates entry hosts whose client accounts compete for the slots of a few servers.
 *
 * @module
 */
import type { DirectRequest } from '../../src/ports/mod.js';
import type { FakeExchange, FakeReply } from './direct_ends.js';
import { DirectFleet } from './direct_fleet.js';
import type { DirectHost } from './direct_host.js';
import { SeededRandom } from './fakes.js';

const STEP_MS = 10;

const MS_PER_SECOND = 1_000;

/** Slots of each server. */
const SLOTS = 5;

/** Average duration of a request, in milliseconds. */
const RUN_MS = 200;

/** Calls of one account. */
export interface AccountCalls {
  readonly accountId: string;
  readonly callsPerSecond: number;
  /** Entry hosts that its callers use. Default: all. */
  readonly hosts?: readonly DirectHost[];
  readonly request?: Partial<DirectRequest>;
}

/** A call of an account. */
export interface AccountCall {
  readonly accountId: string;
  readonly requestId: string;
  readonly sentAtMs: number;
  readonly reply: FakeReply;
}

/** Servers that queue what exceeds their slots. */
export class AccountFleet extends DirectFleet {
  readonly accountCalls: AccountCall[] = [];

  /** Request IDs in the order in which they began to run. */
  readonly runIds: string[] = [];

  /** Requests at each server, running ones first. */
  readonly #requests = new Map<string, FakeExchange[]>();

  readonly #arrivals = new SeededRandom(11);

  protected override serve(_hostId: string, exchange: FakeExchange): void {
    const { serverId } = exchange.request;
    const requests = this.#requests.get(serverId) ?? [];
    this.#requests.set(serverId, [...requests, exchange]);
    if (requests.length < SLOTS) this.#run(exchange);
  }

  #run(exchange: FakeExchange): void {
    this.runIds.push(exchange.request.request.requestId);
    this.clock.setTimer(RUN_MS * (0.5 + this.random.nextFraction()), () => {
      this.#end(exchange);
      if (!exchange.isCancelled) exchange.sendResponse();
    });
  }

  #end(exchange: FakeExchange): void {
    const { serverId } = exchange.request;
    const left = (this.#requests.get(serverId) ?? [])
      .filter((other) => other !== exchange)
      .filter(({ isCancelled }, index) => index < SLOTS - 1 || !isCancelled);
    this.#requests.set(serverId, left);
    const next = left[SLOTS - 1];
    if (next) this.#run(next);
  }

  /** Sends calls of several accounts at random moments. */
  async runAccounts(loads: readonly AccountCalls[], durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      loads.forEach((load) => {
        let left = (load.callsPerSecond * STEP_MS) / MS_PER_SECOND;
        for (; this.#arrivals.nextFraction() < left; left -= 1) this.callAs(load);
      });
      await this.clock.advance(STEP_MS);
    }
  }

  /** Sends one call of an account. */
  callAs({ accountId, hosts, request }: Omit<AccountCalls, 'callsPerSecond'>): FakeReply {
    const requestId = `${accountId}-${this.accountCalls.length + 1}`;
    const body = Buffer.from(requestId);
    const reply = this.call({ requestId, body, key: `key-${accountId}`, ...request }, hosts);
    this.accountCalls.push({ accountId, requestId, sentAtMs: this.clock.nowMs(), reply });
    return reply;
  }

  /** Fraction of an account's calls that were served. */
  measureServed(accountId: string, fromMs = 0, untilMs = Infinity): number {
    const calls = this.accountCalls.filter(
      (call) => call.accountId === accountId && call.sentAtMs >= fromMs && call.sentAtMs < untilMs,
    );
    return calls.filter(({ reply }) => isServed(reply)).length / calls.length;
  }

  /** Calls that have neither an answer nor an error, or that ran without an answer. */
  listLost(): AccountCall[] {
    return this.accountCalls.filter(
      ({ reply }) => !reply.hasEnded && reply.error === undefined && !reply.isAborted,
    );
  }

  /** Number of runs of the same request beyond its first one. */
  countRepeatedRuns(): number {
    return this.runIds.length - new Set(this.runIds).size;
  }
}

function isServed({ hasEnded, error, isAborted }: FakeReply): boolean {
  return hasEnded && error === undefined && !isAborted;
}
