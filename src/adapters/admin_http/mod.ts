/**
 * The administration listener: read-only reports on this entry host for operators and
 * their tools, and a dry run of contract documents. Use it as
 * `await new AdminListener({ adminKey, log, limits, sources }).start(host, port)`.
 *
 * @module
 */
export { AdminListener } from './admin_listener.js';
export type { AdminListenerOptions } from './admin_listener.js';
export type { AdminSources, ContractCheck, Readiness } from './admin_sources.js';
