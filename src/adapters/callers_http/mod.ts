/**
 * The callers' listener: the OpenAI-compatible protocol, request IDs, and plain
 * services, over http or https. Use it as
 * `await new CallersListener({ gateway, log, metrics, tracer, clock, limits }).start(host, port)`.
 *
 * @module
 */
export { CallersListener } from './callers_listener.js';
export type { CallersListenerOptions } from './callers_listener.js';
