/**
 * Simulated callers of one soak run. They look up entry host addresses, reuse connections until
 * the peer process closes them, and record every response.
 *
 * @module
 */
import { Agent, request } from 'node:http';
import { SeededRandom } from '../test/support/fakes.js';
import { TEST_KEY } from '../platform/test/documents.js';
import { queryAddresses } from './ask.js';
import { REVOCABLE_KEY } from './published_configuration.js';
import type { SoakFleet } from './soak_fleet.js';
import { findTakeUp } from './stream_chain.js';
import type { StreamPosition } from './stream_chain.js';

/** Kinds of calls, identified by their path prefix. */
export enum CallKind {
  Read = '/read/',
  Write = '/write/',
  Stream = '/stream/',
  Once = '/stream/once/',
}

/** One call as observed by its caller. */
export interface SoakCall {
  readonly id: string;
  readonly kind: CallKind;
  readonly target: string;
  readonly key: string;
  readonly address: string;
  /** Sent as `Deadline-Ms`. */
  readonly deadlineMs: number;
  readonly sentAtMs: number;
  /** When the call ended; `Infinity` while it is in flight. */
  endedAtMs: number;
  /** HTTP status; 0 if no response head arrived. */
  status: number;
  /** Whether the response body was received completely. */
  isWhole: boolean;
  /** Whether its end is marked, by a length or by chunks. */
  isMarked: boolean;
  /** Whether the caller disconnected before the call ended. */
  hasLeft: boolean;
  /** Whether the response carried the `Response-Seal` header. */
  hasSeal: boolean;
  body: string;
  /** The stream that the call takes up; undefined if it takes up none. */
  readonly takesUp?: StreamPosition;
}

/** Mean time between two calls of one caller, in milliseconds. */
const MEAN_INTERVAL_MS = 60;

/** Time in milliseconds after which a caller refreshes its list of addresses. */
const ADDRESS_REFRESH_MS = 2_000;

/** Time in milliseconds for which a caller avoids an address after a connection error. */
const AVOID_MS = 2_000;

/** Time in milliseconds past the deadline after which a caller closes the connection. */
const TIMEOUT_GRACE_MS = 1_500;

/** Fraction of calls whose caller disconnects early. */
const DISCONNECT_FRACTION = 0.05;

/** Fraction of calls that use the revocable key. */
const REVOCABLE_FRACTION = 0.2;

/** A caller that sends calls at random intervals until it is stopped. */
export class SoakCaller {
  readonly calls: SoakCall[] = [];

  readonly #fleet: SoakFleet;

  readonly #name: string;

  readonly #random: SeededRandom;

  readonly #agent = new Agent({ keepAlive: true });

  readonly #avoidedUntilMs = new Map<string, number>();

  #addresses: readonly string[] = [];

  #refreshAtMs = 0;

  #isRunning = true;

  constructor(fleet: SoakFleet, name: string, seed: number) {
    this.#fleet = fleet;
    this.#name = name;
    this.#random = new SeededRandom(seed);
  }

  /** Sends calls until {@link stop} is called. */
  async run(): Promise<void> {
    while (this.#isRunning) {
      const intervalMs = -Math.log(1 - this.#random.nextFraction()) * MEAN_INTERVAL_MS;
      await new Promise((resolve) => {
        setTimeout(resolve, intervalMs);
      });
      if (performance.now() > this.#refreshAtMs) await this.#refreshAddresses();
      const address = this.#pickAddress();
      if (address !== undefined && this.#isRunning) this.#call(address);
    }
  }

  /** Stops sending calls; calls in flight continue. */
  stop(): void {
    this.#isRunning = false;
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  async #refreshAddresses(): Promise<void> {
    const hosts = this.#fleet.hosts.map(({ settings }) => settings.addressBookAddress);
    const first = Math.floor(this.#random.nextFraction() * hosts.length);
    this.#refreshAtMs = performance.now() + ADDRESS_REFRESH_MS;
    for (let index = 0; index < Math.min(3, hosts.length); index += 1) {
      const asked = hosts[(first + index) % hosts.length] as string;
      const answer = await queryAddresses(asked);
      if (answer.length > 0) {
        this.#addresses = answer;
        return;
      }
    }
  }

  #pickAddress(): string | undefined {
    const nowMs = performance.now();
    const usable = this.#addresses.filter(
      (address) => (this.#avoidedUntilMs.get(address) ?? 0) < nowMs,
    );
    return usable[Math.floor(this.#random.nextFraction() * usable.length)];
  }

  #call(address: string): void {
    const kinds = Object.values(CallKind);
    const kind = kinds[Math.floor(this.#random.nextFraction() * kinds.length)] as CallKind;
    const id = `${this.#name}-${this.calls.length}`;
    const call: SoakCall = {
      id,
      kind,
      target: `${kind}${id}?x=${id}`,
      key: this.#drawKey(),
      deadlineMs: this.#fleet.callTimeMs,
      address,
      sentAtMs: performance.now(),
      endedAtMs: Infinity,
      status: 0,
      isWhole: false,
      isMarked: false,
      hasLeft: false,
      hasSeal: false,
      body: '',
    };
    this.calls.push(call);
    this.#send(call);
  }

  #drawKey(): string {
    const fraction = this.#random.nextFraction();
    if (fraction < REVOCABLE_FRACTION) return REVOCABLE_KEY;
    const { configuration, replacedKeyFraction } = this.#fleet;
    const isReplaced = fraction < REVOCABLE_FRACTION + replacedKeyFraction;
    return isReplaced ? configuration.keyInTurn : TEST_KEY;
  }

  /** Takes a stream that broke off, or that the caller left, up at another address at once. */
  #takeUp(call: SoakCall): void {
    const takesUp = this.#isRunning ? findTakeUp(call) : undefined;
    const address = this.#pickAddress();
    if (call.kind !== CallKind.Stream || !takesUp || address === undefined) return;
    const next: SoakCall = {
      ...call,
      ...{ id: `${this.#name}-${this.calls.length}`, address, takesUp, body: '' },
      ...{ sentAtMs: performance.now(), endedAtMs: Infinity, status: 0 },
      ...{ isWhole: false, isMarked: false, hasLeft: false, hasSeal: false },
    };
    this.calls.push(next);
    this.#send(next);
  }

  #send(call: SoakCall): void {
    const [host, port] = call.address.split(':');
    const sent = request({
      host,
      port,
      path: call.target,
      method: 'POST',
      agent: this.#agent,
      headers: {
        Host: 'api.example',
        'Attempt-Id': call.id,
        'Deadline-Ms': String(call.deadlineMs),
        Authorization: `Bearer ${call.key}`,
        ...(call.takesUp && {
          Resumes: call.takesUp.beganAs,
          'Last-Event-Id': String(call.takesUp.events),
        }),
      },
    });
    const timeout = setTimeout(() => sent.destroy(), call.deadlineMs + TIMEOUT_GRACE_MS);
    const mayDisconnect = this.#random.nextFraction() < DISCONNECT_FRACTION;
    const disconnectMs = this.#random.nextFraction() * 100;
    const disconnectTimer = setTimeout(() => {
      if (!mayDisconnect || call.endedAtMs !== Infinity) return;
      Object.assign(call, { hasLeft: true });
      sent.destroy();
    }, disconnectMs);
    const settle = (): void => {
      clearTimeout(timeout);
      clearTimeout(disconnectTimer);
      if (call.endedAtMs !== Infinity) return;
      Object.assign(call, { endedAtMs: performance.now() });
      this.#takeUp(call);
    };
    sent.on('error', () => {
      this.#avoidedUntilMs.set(call.address, performance.now() + AVOID_MS);
      settle();
    });
    sent.on('response', (response) => {
      Object.assign(call, {
        status: response.statusCode ?? 0,
        hasSeal: response.headers['response-seal'] !== undefined,
      });
      response.setEncoding('utf8');
      response.on('data', (text: string) => Object.assign(call, { body: call.body + text }));
      response.on('error', settle);
      response.on('close', settle);
      response.on('end', () => {
        const { headers, complete } = response;
        const isMarked = headers['content-length'] ?? headers['transfer-encoding'];
        Object.assign(call, { isWhole: complete, isMarked: complete && isMarked !== undefined });
        settle();
      });
    });
    sent.end();
  }
}
