/**
 * Dispatchers: for each dispatch group, one entry host queues all requests for the
 * group's backend servers and grants their slots. Owners on any entry host request
 * slots from it.
 *
 * ```ts
 * const dispatcher = new DispatcherService(options);
 * const slots = new SlotClient({ ...options, dispatcher });
 * dispatcher.start();
 * const slot = await slots.acquire(slotRequest);
 * ```
 *
 * @module
 */
export { DispatcherService, GRANT_VALID_MS } from './dispatcher_service.js';
export { SlotClient } from './slot_client.js';
export type { DispatcherOptions, SlotClientOptions } from './dispatcher_options.js';
export type { QueueReport, ServerReport } from './queue_report.js';
export type { SlotRequester } from './slot_requester.js';
