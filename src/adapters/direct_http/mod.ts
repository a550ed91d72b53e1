/**
 * HTTP for calls that carry their own request ID: the listener for callers and the
 * client for backend servers. A {@link DirectDialect} defines the headers.
 * `new DirectListener({ dialect, getLimits, mustClose, … }).start('10.0.0.1', 8221)`.
 *
 * @module
 */
export { HttpDirectBackendClient } from './http_direct_backend_client.js';
export { DirectDialect } from './direct_dialect.js';
export type { AnswerInfo, CallInfo } from './direct_dialect.js';
export { DirectListener } from './direct_listener.js';
export type { DirectListenerOptions } from './direct_listener.js';
