/**
 * Entry point of a process that runs several stand-in model engines, for experiments.
 * `--engines` takes a JSON list of objects, each with the flags of one engine.
 *
 * @module
 */
import { parseArgs } from 'node:util';
import { buildEngineOptions, ENGINE_FLAGS } from './_engine_settings.js';
import type { EngineFlags } from './_engine_settings.js';
import { parseListenAddress, runProgram } from './_program.js';
import { ModelEngine } from './model_engine.js';

const { values } = parseArgs({ options: { engines: { type: 'string', default: '[]' } } });
const defaults = Object.fromEntries(
  Object.entries(ENGINE_FLAGS).map(([name, flag]) => [
    name,
    'default' in flag ? flag.default : undefined,
  ]),
);
const settings = (JSON.parse(values.engines) as Record<string, unknown>[]).map((each) =>
  Object.fromEntries(Object.entries(each).map(([name, value]) => [name, String(value)])),
);
const engines = settings.map(
  (each) => new ModelEngine(buildEngineOptions({ ...defaults, ...each })),
);
const listed = await Promise.all(
  engines.map(async (engine, index) => {
    const flags: EngineFlags = { ...defaults, ...settings[index] };
    const url = await engine.open(parseListenAddress(flags.listen ?? ''));
    return { id: engine.options.id, url };
  }),
);
runProgram({ engines: listed, url: listed[0]?.url ?? '' }, engines);
