/**
 * The administration listener: what this entry host believes and does, for
 * operators and their tools, and a dry run of contracts. It changes nothing. Use it as
 * `await new AdminListener({ adminKey, log, limits, sources }).start(host, port)`.
 *
 * @module
 */
export { AdminListener } from './admin_listener.js';
export type { AdminListenerOptions } from './admin_listener.js';
export type { AdminSources, ContractCheck, Readiness } from './admin_sources.js';
