/**
 * Simulates entry hosts that exchange reports, and backend servers that name rate limits, over
 * fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import { BackendFailure } from '../../src/ports/mod.js';
import type { DirectRequest } from '../../src/ports/mod.js';
import type { FakeExchange, FakeReply } from './direct_ends.js';
import { buildDocument, buildServer, DirectHost } from './direct_host.js';
import type { DocumentChanges } from './direct_host.js';
import { SeededRandom } from './fakes.js';
import { buildIdentity, FakePeerHub } from './fake_peer_network.js';
import { settle, VirtualClock } from './virtual_clock.js';

const MS_PER_SECOND = 1_000;

/** Interval at which calls are sent to the entry hosts, in milliseconds. */
const LOAD_STEP_MS = 10;

/** Number of entry hosts that the others find each other by. */
const SEED_COUNT = 3;

/** Time until all entry hosts know each other, in milliseconds. */
const DISCOVERY_MS = 2_500;

/** How a server answers. */
export enum AnswerKind {
  Success = 'success',
  Stream = 'stream',
  /** The server declares that it did not run the request. */
  Decline = 'decline',
  Error = 'error',
}

/** Options of a {@link LimitFleet}. */
export interface LimitFleetOptions extends DocumentChanges {
  readonly hosts: number;
  readonly servers: number;
  /** Slots of each server. Default: 11. */
  readonly slots?: number;
  /** Average duration of a request, in milliseconds. Default: 200. */
  readonly runMs?: number;
  readonly seed?: number;
  /** Picks how a server answers a request. Default: success. */
  readonly pickAnswer?: (random: SeededRandom) => AnswerKind;
}

/** The arrival of a request at a server. */
export interface LimitedArrival {
  readonly atMs: number;
  readonly serverId: string;
  readonly hostId: string;
}

/** Load on the fleet. */
export interface FleetLoad {
  readonly callsPerSecond: number;
  readonly durationMs: number;
  readonly request?: Partial<DirectRequest>;
  /** Picks the entry host of a call. Default: any. */
  readonly hosts?: readonly DirectHost[];
}

/** Entry hosts and servers that name the rate limits that a test sets. */
export class LimitFleet {
  readonly clock = new VirtualClock();

  readonly hub = new FakePeerHub(true);

  readonly hosts: DirectHost[] = [];

  readonly arrivals: LimitedArrival[] = [];

  readonly replies: FakeReply[] = [];

  /** Requests a second that each server names in its answers at present. */
  readonly limits = new Map<string, number>();

  /** When each entry host received an answer that names a limit first, by server and host. */
  readonly toldAtMs = new Map<string, number>();

  /** When each server first named a limit. */
  readonly namedAtMs = new Map<string, number>();

  readonly #options: LimitFleetOptions;

  readonly #random: SeededRandom;

  readonly #test: Test;

  #callCount = 0;

  constructor(t: Test, options: LimitFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#test = t;
  }

  /** IDs of all servers. */
  get serverIds(): string[] {
    return Array.from({ length: this.#options.servers }, (_, index) => `s-${index + 1}`);
  }

  /** Starts all entry hosts and waits until they know each other. */
  async start(): Promise<void> {
    for (let index = 1; index <= this.#options.hosts; index += 1) await this.addHost(`h-${index}`);
    await this.clock.advance(DISCOVERY_MS);
  }

  /** Starts one entry host. */
  async addHost(id: string, incarnation = `${id}-1`): Promise<DirectHost> {
    const seeds = Array.from({ length: SEED_COUNT }, (_, index) => `ws://h-${index + 1}.test`);
    const host = new DirectHost({
      clock: this.clock,
      hub: this.hub,
      identity: buildIdentity(id, incarnation),
      seeds,
    });
    this.#test.teardown(() => host.stop());
    host.backend.onSend = (exchange) => this.#serve(id, exchange);
    host.feed.put('configuration', buildDocument(1, this.#options));
    this.serverIds.forEach((serverId) => {
      host.feed.put(
        `servers/${serverId}`,
        buildServer(serverId, { slots: this.#options.slots ?? 11 }),
      );
    });
    this.hosts.push(host);
    await host.start(this.#options, []);
    return host;
  }

  /** Ends the process of an entry host. */
  async removeHost(host: DirectHost): Promise<void> {
    this.hosts.splice(this.hosts.indexOf(host), 1);
    host.stop();
    await host.peers.close();
  }

  /** Sends calls to the entry hosts at random moments, at a steady rate. */
  async run({ callsPerSecond, durationMs, request, hosts }: FleetLoad): Promise<void> {
    const callsPerStep = (callsPerSecond * LOAD_STEP_MS) / MS_PER_SECOND;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += LOAD_STEP_MS) {
      for (let left = callsPerStep; this.#random.nextFraction() < left; left -= 1) {
        this.call(request, hosts);
      }
      await this.clock.advance(LOAD_STEP_MS);
    }
  }

  /** Sends one call to a random entry host. */
  call(request: Partial<DirectRequest> = {}, hosts: readonly DirectHost[] = this.hosts): FakeReply {
    const host = hosts[Math.floor(this.#random.nextFraction() * hosts.length)] as DirectHost;
    this.#callCount += 1;
    const reply = host.call({ body: Buffer.from(`call ${this.#callCount}`), ...request });
    this.replies.push(reply);
    return reply;
  }

  /** @returns the arrivals at a server from a given time on */
  listArrivals(serverId: string, fromMs = 0, untilMs = Infinity): LimitedArrival[] {
    return this.arrivals.filter(
      (arrival) =>
        arrival.serverId === serverId && arrival.atMs >= fromMs && arrival.atMs < untilMs,
    );
  }

  /**
   * Counts the arrivals in the fullest window.
   *
   * @param serverId - a server
   * @param windowMs - length of the window, in milliseconds
   * @param fromMs - earliest start of a window, on the monotonic clock
   * @returns the largest count of any window
   */
  countMostArrivals(serverId: string, windowMs: number, fromMs: number): number {
    const times = this.listArrivals(serverId, fromMs).map(({ atMs }) => atMs);
    let first = 0;
    let most = 0;
    times.forEach((atMs, index) => {
      while ((times[first] as number) <= atMs - windowMs) first += 1;
      most = Math.max(most, index - first + 1);
    });
    return most;
  }

  #serve(hostId: string, exchange: FakeExchange): void {
    const { serverId } = exchange.request;
    this.arrivals.push({ atMs: this.clock.nowMs(), serverId, hostId });
    const { runMs = 200, pickAnswer = () => AnswerKind.Success } = this.#options;
    const kind = pickAnswer(this.#random);
    const durationMs = runMs * (0.5 + this.#random.nextFraction());
    this.clock.setTimer(durationMs, () => {
      if (!exchange.isCancelled) this.#answer(hostId, exchange, kind);
    });
  }

  #answer(hostId: string, exchange: FakeExchange, kind: AnswerKind): void {
    const { serverId } = exchange.request;
    const limit = this.limits.get(serverId);
    if (limit !== undefined) {
      const nowMs = this.clock.nowMs();
      const key = `${serverId} ${hostId}`;
      if (!this.namedAtMs.has(serverId)) this.namedAtMs.set(serverId, nowMs);
      if (!this.toldAtMs.has(key)) this.toldAtMs.set(key, nowMs);
    }
    exchange.sendRateLimit(limit, kind !== AnswerKind.Decline);
    if (kind === AnswerKind.Decline) exchange.fail(BackendFailure.Declined);
    else if (kind === AnswerKind.Error) exchange.sendResponse(500);
    else if (kind === AnswerKind.Stream) {
      exchange.sendHead({ isEventStream: true });
      exchange.events(1, 2);
      exchange.listener.onComplete();
    } else exchange.sendResponse();
  }
}

/** Limit that a rule sets: arrivals that count, within a window. */
export interface LimitRule {
  readonly windowMs: number;
  /** Factor on what the named limit allows in the window. */
  readonly factor: number;
  /** Requests beyond that. */
  readonly slack: number;
  /** Time from the first answer that names the limit until the rule holds, in milliseconds. */
  readonly graceMs: number;
  /** Age of a host's knowledge from which its requests count, in milliseconds. */
  readonly toldForMs: number;
}

/** What a server in need tolerates from all entry hosts that it has told. */
export const TOLERATED_LIMIT: LimitRule = {
  windowMs: 4_000,
  factor: 1.5,
  slack: 5,
  graceMs: 3_000,
  toldForMs: 500,
};

/**
 * Counts the arrivals that exceed a rule in the fullest window.
 *
 * @param fleet - the fleet
 * @param serverId - a server whose limit has not changed
 * @param requestsPerSecond - the limit that it names
 * @param rule - the rule
 * @returns arrivals beyond what the rule allows; 0 or less if it was kept
 */
export function measureLimitExcess(
  fleet: LimitFleet,
  serverId: string,
  requestsPerSecond: number,
  rule = TOLERATED_LIMIT,
): number {
  const namedAtMs = fleet.namedAtMs.get(serverId);
  if (namedAtMs === undefined) throw new Error(`Cannot check ${serverId}: it named no limit`);
  const counted = fleet
    .listArrivals(serverId)
    .filter(
      ({ atMs, hostId }) =>
        atMs - (fleet.toldAtMs.get(`${serverId} ${hostId}`) ?? Infinity) >= rule.toldForMs,
    )
    .map(({ atMs }) => atMs);
  const counts = counted
    .filter((endMs) => endMs >= namedAtMs + rule.graceMs)
    .map((endMs) => counted.filter((atMs) => atMs > endMs - rule.windowMs && atMs <= endMs).length);
  const allowed = (rule.factor * requestsPerSecond * rule.windowMs) / MS_PER_SECOND + rule.slack;
  return Math.max(0, ...counts) - allowed;
}

/** Lets pending messages arrive. */
export { settle };
