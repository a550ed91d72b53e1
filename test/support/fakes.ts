/**
 * Fakes of the log, random source, metrics and tracer ports for tests.
 *
 * @module
 */
import { TurnMonitor } from '../../src/application/turns/mod.js';
import type { TurnMonitorOptions } from '../../src/application/turns/mod.js';
import { EventLog, Metrics, RandomSource, Tracer } from '../../src/ports/mod.js';
import type { Hop, LogFields, MetricLabels, Span } from '../../src/ports/mod.js';
import type { LogLevel } from '../../src/domain/errors/mod.js';

/** An event log that records its lines. */
export class FakeLog extends EventLog {
  readonly lines: { level: LogLevel; event: string; fields: LogFields }[] = [];

  override write(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.lines.push({ level, event, fields });
  }

  /** @returns the fields of all lines with a given event name */
  list(event: string): LogFields[] {
    return this.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}

/** A seeded pseudorandom generator (mulberry32). */
export class SeededRandom extends RandomSource {
  #state: number;

  constructor(seed = 1) {
    super();
    this.#state = seed;
  }

  override nextFraction(): number {
    this.#state = Math.trunc(this.#state + 0x6d2b79f5);
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  override nextBytes(length: number): Uint8Array {
    return Uint8Array.from({ length }, () => Math.floor(this.nextFraction() * 256));
  }
}

/** Metrics that record counts and values. */
export class FakeMetrics extends Metrics {
  readonly counts = new Map<string, number>();

  readonly values = new Map<string, number[]>();

  override count(name: string, labels: MetricLabels = {}, by = 1): void {
    const key = `${name}${JSON.stringify(labels)}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + by);
  }

  override record(name: string, value: number): void {
    this.values.set(name, [...(this.values.get(name) ?? []), value]);
  }

  override set(name: string, value: number): void {
    this.values.set(name, [value]);
  }
}

/** A tracer that records the hops of ended spans. */
export class FakeTracer extends Tracer {
  readonly hops: Hop[] = [];

  override startSpan(hop: Hop, parent?: string): Span {
    return {
      traceparent: parent ?? '00-00000000000000000000000000000001-0000000000000001-01',
      setAttributes: () => undefined,
      end: () => {
        this.hops.push(hop);
      },
    };
  }
}

/** @param parts - clock, log and metrics. @returns a measure of turns that take no processor time */
export function createTurns(parts: Omit<TurnMonitorOptions, 'measureProcessorMs'>): TurnMonitor {
  return new TurnMonitor({ ...parts, measureProcessorMs: () => 0 });
}
