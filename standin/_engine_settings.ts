/**
 * Command-line flags of a stand-in engine and their conversion to engine options.
 *
 * @module
 */
import type { ModelEngineOptions } from './model_engine.js';

/** Flag values as text, keyed by flag name without the leading dashes. */
export type EngineFlags = Readonly<Record<string, string | undefined>>;

/** Flags of an engine and their defaults, as `parseArgs` takes them. */
export const ENGINE_FLAGS = {
  listen: { type: 'string', default: '127.0.0.1:0' },
  id: { type: 'string', default: 'engine-1' },
  service: { type: 'string', default: 'monsoon-llm' },
  models: { type: 'string', default: 'monsoon-draft' },
  'prefill-tokens-per-second': { type: 'string', default: '8000' },
  'decode-tokens-per-second': { type: 'string', default: '60' },
  'max-batch': { type: 'string', default: '16' },
  'max-waiting': { type: 'string', default: '256' },
  'cache-blocks': { type: 'string', default: '4096' },
  'load-lag-ms': { type: 'string', default: '500' },
  'cache-event-lag-ms': { type: 'string', default: '500' },
  'time-scale': { type: 'string', default: '1' },
  'runs-file': { type: 'string' },
} as const;

/**
 * Builds the options of an engine.
 *
 * @param flags - flag values with the defaults filled in
 * @returns the options
 * @throws Error that names a numeric flag whose value is not a number
 */
export function buildEngineOptions(flags: EngineFlags): ModelEngineOptions {
  const parseNumber = (name: string): number => {
    const value = Number(flags[name]);
    if (!Number.isFinite(value)) throw new Error(`--${name} "${flags[name]}" is not a number`);
    return value;
  };
  return {
    id: flags.id ?? '',
    service: flags.service ?? '',
    models: (flags.models ?? '').split(','),
    honoursContinue: true,
    prefillTokensPerSecond: parseNumber('prefill-tokens-per-second'),
    decodeTokensPerSecond: parseNumber('decode-tokens-per-second'),
    maxBatch: parseNumber('max-batch'),
    maxWaiting: parseNumber('max-waiting'),
    cacheBlocks: parseNumber('cache-blocks'),
    loadLagMs: parseNumber('load-lag-ms'),
    cacheEventLagMs: parseNumber('cache-event-lag-ms'),
    timeScale: parseNumber('time-scale'),
    runsFile: flags['runs-file'],
  };
}
