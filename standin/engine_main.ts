/**
 * Entry point of a process that runs one stand-in model engine.
 *
 * @module
 */
import { parseArgs } from 'node:util';
import { buildEngineOptions, ENGINE_FLAGS } from './_engine_settings.js';
import { parseListenAddress, runProgram } from './_program.js';
import { ModelEngine } from './model_engine.js';

const { values } = parseArgs({ options: ENGINE_FLAGS });
const engine = new ModelEngine(buildEngineOptions(values));
const url = await engine.open(parseListenAddress(values.listen));
runProgram({ url, id: values.id }, [engine]);
