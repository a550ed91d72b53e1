/**
 * Derives the limits of the listeners of an entry host from its settings.
 *
 * @module
 */
import {
  computeMaxConnections,
  DEFAULT_HTTP_LIMITS,
  InputGate,
} from '../adapters/http_common/mod.js';
import type { HttpLimits } from '../adapters/http_common/mod.js';
import { ByteBudget, divideMemory } from '../domain/memory/mod.js';
import type { EntrySettings } from './settings.js';

const BYTES_PER_MEGABYTE = 1_000_000;

/** Settings that limit clients. */
export type LimitSettings = Pick<
  EntrySettings,
  'maxBodyBytes' | 'maxConnections' | 'headerTimeoutMs' | 'requestTimeoutMs' | 'memoryMb'
>;

/**
 * Builds the HTTP limits that all listeners of an entry host share.
 *
 * @param settings - checked settings
 * @returns the limits
 */
export function buildLimits(settings: LimitSettings): HttpLimits {
  const { maxBodyBytes, maxConnections, headerTimeoutMs, requestTimeoutMs, memoryMb } = settings;
  return {
    ...DEFAULT_HTTP_LIMITS,
    maxBodyBytes,
    maxConnections,
    headerTimeoutMs,
    requestTimeoutMs,
    ...(memoryMb === undefined ? {} : limitMemory(memoryMb, maxConnections)),
  };
}

/**
 * Creates the gate that all listeners of an entry host share.
 *
 * @param settings - checked settings
 * @returns a gate that bounds the input of all their clients together
 */
export function createInputGate({ memoryMb }: Pick<LimitSettings, 'memoryMb'>): InputGate {
  if (memoryMb === undefined) return new InputGate();
  const { input } = divideMemory(memoryMb * BYTES_PER_MEGABYTE);
  return new InputGate({ budget: new ByteBudget(input) });
}

function limitMemory(memoryMb: number, maxConnections: number): Partial<HttpLimits> {
  const shares = divideMemory(memoryMb * BYTES_PER_MEGABYTE);
  const affordable = computeMaxConnections({ memoryBytes: shares.connections });
  return {
    maxConnections: Math.min(maxConnections, affordable),
    maxTotalBodyBytes: shares.bodies + shares.smallBodies,
    maxTotalRequestBytes: shares.requests,
  };
}
