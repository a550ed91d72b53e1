/**
 * A caller's side of the protocol: which entry host to use, a request ID, one
 * call, and its whole answer, read on through another entry host when the
 * connection breaks. Nothing is ever sent under a second ID once it may have run.
 *
 * ```ts
 * const client = new CallerClient({ urls: ['http://10.0.0.1:8080'], apiKey });
 * const reply = await client.send({ method: 'POST', path: '/v1/chat/completions', body });
 * for await (const bytes of reply.body) process.stdout.write(bytes);
 * client.close();
 * ```
 *
 * @module
 */
export { CallerClient } from './caller_client.js';
export type { CallerClientOptions } from './caller_client.js';
export { CallerError, LocalErrorCode } from './caller_error.js';
export type { CallerErrorOptions } from './caller_error.js';
export type { CallerReply, CallerRequest } from './caller_request.js';
