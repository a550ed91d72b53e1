/**
 * Configurations of the silent-servers bench, each with a few drawn changes.
 *
 * @module
 */
import type { StreamShape } from '../platform/test/replica_options.js';
import type { SeededRandom } from '../test/support/fakes.js';

/** Services between which routes of streams move. */
export const ENGINE_SERVICES = ['engines', 'engines-b'] as const;

/** Service of reads and writes. */
export const APPLICATION_SERVICE = 'application';

/** Number of client accounts, each with two keys. */
const ACCOUNTS = 6;

/** Longest number of routes that are dropped, and of keys that are taken away, at a time. */
const MAX_ABSENT = 2;

/** Sizes of the calls of one route, and how they may be repeated. */
export interface RouteKind {
  readonly name: string;
  readonly prefix: string;
  readonly routeType: 'streaming' | 'non_idempotent' | 'idempotent';
  readonly streamResumption?: boolean;
  readonly maxAttempts: number;
  readonly targetLatencyMs: number;
  readonly timeoutMs: number;
  readonly callsPerSecond: number;
  readonly shape: StreamShape;
}

const STREAM = { routeType: 'streaming', maxAttempts: 2 } as const;

/** The routes; two of each stream, so that one may be dropped while the other is asked. */
export const ROUTE_KINDS: readonly RouteKind[] = [
  ...[1, 2].flatMap((copy) => [
    {
      ...STREAM,
      name: `survey-${copy}`,
      prefix: `/stream/survey-${copy}/`,
      streamResumption: true,
      targetLatencyMs: 419,
      timeoutMs: 12_583,
      callsPerSecond: 3,
      shape: { firstByteDelayMs: 400, events: 42, eventIntervalMs: 60 },
    },
    {
      ...STREAM,
      name: `remedy-${copy}`,
      prefix: `/stream/remedy-${copy}/`,
      streamResumption: true,
      targetLatencyMs: 508,
      timeoutMs: 10_159,
      callsPerSecond: 3,
      shape: { firstByteDelayMs: 500, events: 32, eventIntervalMs: 70 },
    },
    {
      ...STREAM,
      name: `photo-${copy}`,
      prefix: `/stream/photo-${copy}/`,
      streamResumption: true,
      targetLatencyMs: 810,
      timeoutMs: 2_530,
      callsPerSecond: 6,
      shape: { firstByteDelayMs: 800, events: 3, eventIntervalMs: 100 },
    },
  ]),
  {
    ...STREAM,
    name: 'once',
    prefix: '/stream/once/',
    maxAttempts: 1,
    targetLatencyMs: 508,
    timeoutMs: 10_159,
    callsPerSecond: 4,
    shape: { firstByteDelayMs: 500, events: 32, eventIntervalMs: 70 },
  },
  {
    name: 'write',
    prefix: '/write/ledger/',
    routeType: 'non_idempotent',
    maxAttempts: 1,
    targetLatencyMs: 201,
    timeoutMs: 1_041,
    callsPerSecond: 8,
    shape: { firstByteDelayMs: 43, events: 0, eventIntervalMs: 0 },
  },
  {
    name: 'read',
    prefix: '/read/lookup/',
    routeType: 'idempotent',
    maxAttempts: 2,
    targetLatencyMs: 200,
    timeoutMs: 1_038,
    callsPerSecond: 8,
    shape: { firstByteDelayMs: 43, events: 0, eventIntervalMs: 0 },
  },
];

/** @returns the sizes of the answer to a request target */
export function findShape(target: string): StreamShape {
  const kind = ROUTE_KINDS.find(({ prefix }) => target.startsWith(prefix)) as RouteKind;
  return kind.shape;
}

/** What a configuration says of one route. */
export interface RouteState {
  readonly service: string;
  readonly isPresent: boolean;
  readonly timeoutMs: number;
}

/** One published configuration. */
export interface PublishedVersion {
  readonly version: number;
  readonly atMs: number;
  readonly routes: ReadonlyMap<string, RouteState>;
  readonly keys: readonly string[];
  readonly changes: readonly string[];
}

/** Draws configurations, each from the one before. */
export class DrawnConfigurations {
  readonly published: PublishedVersion[] = [];

  readonly #random: SeededRandom;

  #routes = new Map<string, RouteState>(
    ROUTE_KINDS.map(({ name, routeType, timeoutMs }) => [
      name,
      {
        service: routeType === 'streaming' ? ENGINE_SERVICES[0] : APPLICATION_SERVICE,
        isPresent: true,
        timeoutMs,
      },
    ]),
  );

  #absentKeys: readonly string[] = [];

  #idleTimeoutMs = 15_000;

  #maxBodyBytes = 65_536;

  /** @param random - source of the changes */
  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /** Draws the next configuration. @returns its document for the store */
  publishNext(): object {
    const isFirst = this.published.length === 0;
    const changes = isFirst
      ? []
      : Array.from({ length: 1 + this.#drawIndex(3) }, () => this.#change());
    const version = (this.published.at(-1)?.version ?? 0) + 1 + this.#drawIndex(3);
    const absent = new Set(this.#absentKeys);
    const keys = listAllKeys().filter((key) => !absent.has(key));
    const routes = new Map(this.#routes);
    this.published.push({ version, atMs: performance.now(), routes, keys, changes });
    return this.#buildDocument(version, keys);
  }

  #drawIndex(count: number): number {
    return Math.floor(this.#random.nextFraction() * count);
  }

  #change(): string {
    const draws = [
      () => this.#moveRoute(),
      () => this.#moveRoute(),
      () => this.#toggleRoute(),
      () => this.#changeTimeout(),
      () => this.#changeKeys(),
      () => this.#changeLimits(),
    ];
    return (draws[this.#drawIndex(draws.length)] as () => string)();
  }

  #drawStream(): RouteKind {
    const streams = ROUTE_KINDS.filter(({ routeType }) => routeType === 'streaming');
    return streams[this.#drawIndex(streams.length)] as RouteKind;
  }

  #setRoute(name: string, changes: Partial<RouteState>): void {
    this.#routes.set(name, { ...(this.#routes.get(name) as RouteState), ...changes });
  }

  #moveRoute(): string {
    const { name } = this.#drawStream();
    const from = this.#routes.get(name)?.service;
    const service = ENGINE_SERVICES.find((each) => each !== from) as string;
    this.#setRoute(name, { service });
    return `${name} moves to ${service}`;
  }

  #toggleRoute(): string {
    const absent = [...this.#routes].filter(([, { isPresent }]) => !isPresent);
    if (absent.length >= MAX_ABSENT || (absent.length > 0 && this.#drawIndex(2) === 0)) {
      const name = absent[0]?.[0] as string;
      this.#setRoute(name, { isPresent: true });
      return `${name} is added`;
    }
    const { name } = this.#drawStream();
    this.#setRoute(name, { isPresent: false });
    return `${name} is dropped`;
  }

  #changeTimeout(): string {
    const { name, timeoutMs } = this.#drawStream();
    const changed = Math.round(timeoutMs * (0.7 + this.#random.nextFraction()));
    this.#setRoute(name, { timeoutMs: changed });
    return `${name} has ${changed} ms`;
  }

  #changeKeys(): string {
    if (this.#absentKeys.length >= MAX_ABSENT) {
      const [back] = this.#absentKeys;
      this.#absentKeys = this.#absentKeys.slice(1);
      return `${back} is added`;
    }
    const keys = listAllKeys().filter((key) => !this.#absentKeys.includes(key));
    const key = keys[this.#drawIndex(keys.length)] as string;
    this.#absentKeys = [...this.#absentKeys, key];
    return `${key} is taken away`;
  }

  #changeLimits(): string {
    this.#idleTimeoutMs = 1_000 + this.#drawIndex(15_000);
    this.#maxBodyBytes = 16_384 + this.#drawIndex(65_536);
    return `idle ${this.#idleTimeoutMs} ms, bodies ${this.#maxBodyBytes} bytes`;
  }

  #buildDocument(version: number, keys: readonly string[]): object {
    const routes = ROUTE_KINDS.flatMap(({ shape: _shape, callsPerSecond: _rate, ...kind }) => {
      const { isPresent, ...state } = this.#routes.get(kind.name) as RouteState;
      const fixed = { host: 'api.example', priority: 0, anonymous: false, targetGapMs: 200 };
      return isPresent ? [{ ...fixed, ...kind, ...state }] : [];
    });
    const engine = { healthPath: '/healthz', maxConnections: 530, engine: { stride: 9 } };
    const services = [
      ...ENGINE_SERVICES.map((name) => ({ name, ...engine })),
      { name: APPLICATION_SERVICE, healthPath: '/healthz', maxConnections: 430 },
    ];
    const tenants = Array.from({ length: ACCOUNTS }, (_, index) => ({
      name: `firm-${index}`,
      apiKeys: keys.filter((key) => key.startsWith(`key-${index}-`)),
      unit: 'token_count',
      uncachedTokens: 100,
      ratePerS: 0,
      burst: 0,
    }));
    const limits = {
      maxHeaderBytes: 16_384,
      maxBodyBytes: this.#maxBodyBytes,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: this.#idleTimeoutMs,
    };
    return { version, routes, services, limits, tenants };
  }
}

function listAllKeys(): string[] {
  return Array.from({ length: ACCOUNTS }, (_, index) => [
    `key-${index}-a`,
    `key-${index}-b`,
  ]).flat();
}
