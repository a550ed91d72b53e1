/**
 * Client for callers: requests an ID and an entry host, sends one call, and returns its complete
 * answer, resumed through another entry host when the connection breaks. Once a call may have run,
 * it is never sent under a second ID.
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
