/**
 * The callers' listener: the OpenAI-compatible API, request IDs and calls to other services,
 * over HTTP or HTTPS. Use it as
 * `await new CallersListener({ gateway, log, metrics, tracer, clock, limits }).start(host, port)`.
 *
 * @module
 */
export { CallersListener } from './callers_listener.js';
export type { CallersListenerOptions } from './callers_listener.js';
