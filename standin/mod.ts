/**
 * Stand-ins for the platform services and the backend servers, for tests, benchmarks and the
 * demo. They import no code of the system under test and record every run they start.
 *
 * ```ts
 * const engine = new ModelEngine(options);
 * const url = await engine.open({ host: '127.0.0.1', port: 0 });
 * ```
 *
 * @module
 */
export { ModelEngine } from './model_engine.js';
export type { ModelEngineOptions } from './model_engine.js';
export { PlainService } from './plain_service.js';
export type { PlainServiceOptions } from './plain_service.js';
export { Platform, PlatformFaultKind } from './platform.js';
export type { PlatformOptions } from './platform.js';
export { FaultKind } from './_fault_switch.js';
export type { FaultOrder } from './_fault_switch.js';
export { readRunFile } from './_run_log.js';
export type { RunRecord } from './_run_log.js';
export { buildAnswerText, computeBlockHashes } from './_prompt.js';
