/**
 * Dispatchers: one entry host for each dispatch group queues all requests for
 * its backend servers and grants their slots; owners ask it from anywhere.
 *
 * ```ts
 * const dispatcher = new DispatcherService(options);
 * const slots = new SlotClient({ ...options, dispatcher });
 * dispatcher.start();
 * const slot = await slots.acquire(wish);
 * ```
 *
 * @module
 */
export { DispatcherService, GRANT_VALID_MS } from './dispatcher_service.js';
export { SlotClient } from './slot_client.js';
export type { DispatcherOptions, SlotClientOptions } from './dispatcher_options.js';
export type { QueueReport, ServerReport } from './queue_report.js';
export type { SlotRequester } from './slot_requester.js';
