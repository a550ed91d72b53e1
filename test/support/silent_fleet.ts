/**
 * Simulates entry hosts before sound servers that fall silent for a moment and go on, over fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import type { BackendServerEntry } from '../../src/domain/backend_servers/mod.js';
import { BackendFailure } from '../../src/ports/mod.js';
import type { FakeExchange, FakeReply } from './direct_ends.js';
import { DirectFleet } from './direct_fleet.js';
import type { DirectFleetOptions } from './direct_fleet.js';
import { buildDocument } from './direct_host.js';
import type { DirectHost, DocumentChanges } from './direct_host.js';

/** Time of a message between an entry host and a server, in milliseconds. */
const LINK_MS = 2;

/** Default slots of a server. */
const DEFAULT_SLOTS = 11;

/** Options of a {@link SilentFleet}. */
export interface SilentFleetOptions extends DirectFleetOptions {
  /** Average duration of a run, in milliseconds. */
  readonly runMs: number;
  /** Number of events of each answer; 0 for plain answers. Default: 0. */
  readonly events?: number;
}

/** A request that began to run at a server. */
export interface SoundRun {
  readonly exchange: FakeExchange;
  readonly startedAtMs: number;
  endedAtMs: number | undefined;
}

/** One server: while it is silent, nothing that reaches it happens before it goes on. */
interface SoundServer {
  silentUntilMs: number;
  readonly running: Set<FakeExchange>;
}

/** Servers that never end; what is lost of their answers is lost by the entry hosts. */
export class SilentFleet extends DirectFleet {
  readonly runs: SoundRun[] = [];

  readonly #servers = new Map<string, SoundServer>();

  readonly #silentOptions: SilentFleetOptions;

  constructor(t: Test, options: SilentFleetOptions) {
    super(t, options);
    this.#silentOptions = options;
  }

  /** Lets servers fall silent for some time from now on. */
  silence(serverIds: readonly string[], forMs: number): void {
    const untilMs = this.clock.nowMs() + forMs;
    serverIds.forEach((id) => {
      const server = this.#getServer(id);
      server.silentUntilMs = Math.max(server.silentUntilMs, untilMs);
    });
  }

  /** Publishes another configuration at some entry hosts. */
  publish(version: number, changes: DocumentChanges, hosts = this.hosts): void {
    hosts.forEach(({ feed }) => {
      feed.put('configuration', buildDocument(version, { ...this.#silentOptions, ...changes }));
    });
  }

  /** The host with an ID. */
  findHost(id: string): DirectHost {
    return this.hosts.find(({ peers }) => peers.identity.id === id) as DirectHost;
  }

  /** Whether a caller has the whole answer, each event once and in order. */
  isWhole(reply: FakeReply): boolean {
    const { events = 0 } = this.#silentOptions;
    const body = events === 0 ? 'ok' : formatEvents(1, events);
    return reply.head?.status === 200 && reply.hasEnded && !reply.isAborted && reply.body === body;
  }

  /** Times for which two servers worked on one request, in milliseconds. */
  measureOverlaps(): number[] {
    const nowMs = this.clock.nowMs();
    const first = new Map<string, SoundRun>();
    return this.runs.flatMap((run) => {
      const { requestId } = run.exchange.request.request;
      const former = first.get(requestId);
      first.set(requestId, run);
      if (!former) return [];
      const untilMs = Math.min(former.endedAtMs ?? nowMs, run.endedAtMs ?? nowMs);
      return [untilMs - run.startedAtMs];
    });
  }

  protected override describeServer(serverId: string): Partial<BackendServerEntry> {
    return { address: `${serverId}:80` };
  }

  protected override serve(_hostId: string, exchange: FakeExchange): void {
    this.#happen(exchange, LINK_MS, () => this.#begin(exchange));
  }

  #begin(exchange: FakeExchange): void {
    const { running } = this.#getServer(exchange.request.serverId);
    if (exchange.isCancelled) return;
    [...running].filter(({ isCancelled }) => isCancelled).forEach((one) => running.delete(one));
    if (running.size >= (this.#silentOptions.slots ?? DEFAULT_SLOTS)) {
      exchange.fail(BackendFailure.Declined);
      return;
    }
    running.add(exchange);
    const run = { exchange, startedAtMs: this.clock.nowMs(), endedAtMs: undefined };
    this.runs.push(run);
    this.#watchCancel(run);
    const { runMs, events = 0 } = this.#silentOptions;
    const stepMs = (runMs * (0.5 + this.random.nextFraction())) / (events + 1);
    this.#goOn(run, exchange.request.lastEventId, stepMs);
  }

  /** Sends the next event, or the end, one step later. */
  #goOn(run: SoundRun, lastEventId: string | undefined, stepMs: number): void {
    const { events = 0 } = this.#silentOptions;
    const next = Number(lastEventId ?? 0) + 1;
    this.#happen(run.exchange, stepMs, () => {
      const { exchange } = run;
      if (exchange.isCancelled) return;
      const isFirst = next === Number(exchange.request.lastEventId ?? 0) + 1;
      if (isFirst && events > 0) exchange.sendHead({ isEventStream: true });
      if (next > events) this.#answer(run);
      else {
        exchange.events(next, next);
        this.#goOn(run, String(next), stepMs);
      }
    });
  }

  #answer(run: SoundRun): void {
    const { exchange } = run;
    this.#getServer(exchange.request.serverId).running.delete(exchange);
    Object.assign(run, { endedAtMs: this.clock.nowMs() });
    if ((this.#silentOptions.events ?? 0) > 0) exchange.listener.onComplete();
    else exchange.sendResponse();
  }

  #watchCancel(run: SoundRun): void {
    const { exchange } = run;
    const cancel = exchange.cancel.bind(exchange);
    exchange.cancel = () => {
      cancel();
      Object.assign(run, { endedAtMs: run.endedAtMs ?? this.clock.nowMs() });
    };
  }

  /** Runs an action after a delay, or when the server goes on. */
  #happen(exchange: FakeExchange, delayMs: number, action: () => void): void {
    this.clock.setTimer(delayMs, () => {
      const silentMs =
        this.#getServer(exchange.request.serverId).silentUntilMs - this.clock.nowMs();
      if (silentMs > 0) this.#happen(exchange, silentMs, action);
      else action();
    });
  }

  #getServer(id: string): SoundServer {
    const server = this.#servers.get(id) ?? { silentUntilMs: 0, running: new Set() };
    this.#servers.set(id, server);
    return server;
  }
}

function formatEvents(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id += 1) text += `id: ${id}\ndata: ${id}\n\n`;
  return text;
}
