/**
 * The settings of a stand-in engine, from flags or from a JSON list.
 *
 * @module
 */
import type { ModelEngineOptions } from './model_engine.js';

/** Settings as text, by flag name. */
export type EngineFlags = Readonly<Record<string, string | undefined>>;

/** Flags of an engine with their defaults. */
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
 * Builds an engine's options.
 *
 * @param flags - texts by flag name, defaults filled in
 * @returns the options
 * @throws Error that names a flag which is no number
 */
export function buildEngineOptions(flags: EngineFlags): ModelEngineOptions {
  const parseNumber = (name: string): number => {
    const value = Number(flags[name]);
    if (!Number.isFinite(value)) throw new Error(`Cannot use --${name} "${flags[name]}"`);
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
