/**
 * HTTP for calls that bear their own request ID: the callers' listener and the
 * client towards backend servers. Header names come from a {@link DirectDialect}.
 * `new DirectListener({ dialect, getLimits, mustClose, handle }).start('10.0.0.1', 8221)`.
 *
 * @module
 */
export { HttpDirectBackend } from './direct_backend_http.js';
export { DirectDialect } from './direct_dialect.js';
export type { AnswerFacts, CallFacts } from './direct_dialect.js';
export { DirectListener } from './direct_listener.js';
export type { DirectListenerOptions } from './direct_listener.js';
