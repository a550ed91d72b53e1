/**
 * Callers of the silent-servers bench, which keep their connections.
 *
 * @module
 */
import { Agent, request } from 'node:http';
import type { SeededRandom } from '../test/support/fakes.js';
import { ROUTE_KINDS } from './_silent_routes.js';
import type { DrawnConfigurations, RouteKind } from './_silent_routes.js';

/** Time past its deadline after which a caller closes the connection, in milliseconds. */
const GRACE_MS = 1_500;

const MS_PER_SECOND = 1_000;

/** One call as observed by its caller. */
export interface SilentCall {
  readonly id: string;
  readonly route: string;
  readonly host: number;
  readonly key: string;
  readonly deadlineMs: number;
  readonly sentAtMs: number;
  endedAtMs: number;
  /** 0 if no head arrived. */
  status: number;
  isWhole: boolean;
  /** Number of whole events that arrived. */
  events: number;
  lastByteAtMs: number;
  error: string;
}

/** Sends calls of all routes at their rates until it is stopped. */
export class SilentCallers {
  readonly calls: SilentCall[] = [];

  readonly #addresses: readonly string[];

  readonly #configurations: DrawnConfigurations;

  readonly #random: SeededRandom;

  readonly #agent = new Agent({ keepAlive: true });

  readonly #timers = new Map<string, NodeJS.Timeout>();

  readonly #open = new Set<Promise<void>>();

  /**
   * @param addresses - callers' addresses of the entry hosts
   * @param configurations - what is published; callers use its latest routes and keys
   * @param random - source of times, hosts and keys
   */
  constructor(
    addresses: readonly string[],
    configurations: DrawnConfigurations,
    random: SeededRandom,
  ) {
    this.#addresses = addresses;
    this.#configurations = configurations;
    this.#random = random;
  }

  /** @param rateFactor - factor on the rates of all routes */
  start(rateFactor: number): void {
    ROUTE_KINDS.forEach((kind) => this.#schedule(kind, rateFactor));
  }

  /** Stops sending, and waits for the calls in flight. */
  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearTimeout(timer));
    await Promise.all(this.#open);
    this.#agent.destroy();
  }

  #schedule(kind: RouteKind, rateFactor: number): void {
    const meanMs = MS_PER_SECOND / (kind.callsPerSecond * rateFactor);
    const delayMs = -Math.log(1 - this.#random.nextFraction()) * meanMs;
    const timer = setTimeout(() => {
      this.#schedule(kind, rateFactor);
      this.#call(kind);
    }, delayMs);
    this.#timers.set(kind.name, timer);
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#random.nextFraction() * items.length)] as Item;
  }

  #call({ name, prefix, timeoutMs }: RouteKind): void {
    const latest = this.#configurations.published.at(-1);
    if (!latest?.routes.get(name)?.isPresent) return;
    const id = `${name}-${this.calls.length}`;
    const host = Math.floor(this.#random.nextFraction() * this.#addresses.length);
    const nowMs = performance.now();
    const call: SilentCall = {
      id,
      route: name,
      host,
      key: this.#pick(latest.keys),
      deadlineMs: timeoutMs,
      sentAtMs: nowMs,
      endedAtMs: Infinity,
      status: 0,
      isWhole: false,
      events: 0,
      lastByteAtMs: nowMs,
      error: '',
    };
    this.calls.push(call);
    const ended = this.#send(call, `${prefix}${id}`);
    this.#open.add(ended);
    ended.then(() => this.#open.delete(ended)).catch(() => undefined);
  }

  #send(call: SilentCall, target: string): Promise<void> {
    const [host, port] = (this.#addresses[call.host] as string).split(':');
    const record = call;
    return new Promise((resolve) => {
      const sent = request({
        host,
        port,
        path: target,
        method: 'POST',
        agent: this.#agent,
        headers: {
          Host: 'api.example',
          'Attempt-Id': call.id,
          'Deadline-Ms': String(call.deadlineMs),
          'Token-Usage': '660,42',
          Authorization: `Bearer ${call.key}`,
        },
      });
      const timeout = setTimeout(() => sent.destroy(), call.deadlineMs + GRACE_MS);
      const settle = (error = ''): void => {
        clearTimeout(timeout);
        if (record.endedAtMs === Infinity) {
          record.endedAtMs = performance.now();
          record.error = error;
        }
        resolve();
      };
      sent.on('error', (error) => settle(String(error)));
      sent.on('response', (response) => {
        record.status = response.statusCode ?? 0;
        response.setEncoding('utf8');
        response.on('data', (text: string) => {
          record.events += text.split('\n\n').length - 1;
          record.lastByteAtMs = performance.now();
        });
        response.on('error', (error) => settle(String(error)));
        response.on('end', () => {
          record.isWhole = response.complete;
          settle();
        });
        response.on('close', () => settle());
      });
      sent.end();
    });
  }
}
