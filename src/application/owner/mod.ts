/**
 * Request ownership: accepts a call at most once, acquires a slot for it, dispatches
 * it, and retains its answer for repeated reads.
 * `new OwnerService(options).submit(id, call, disconnectSignal)` returns the answer.
 *
 * @module
 */
export { AnswerBuffer } from './answer_buffer.js';
export type { AnswerHead } from './answer_buffer.js';
export { AnswerStore } from './answer_store.js';
export type { AnswerStoreOptions } from './answer_store.js';
export { CheckedBody } from './checked_body.js';
export { OwnedRequest } from './owned_request.js';
export { OwnerService } from './owner_service.js';
export type { OwnerServiceOptions } from './owner_service.js';
export type { OwnedCall } from './owned_call.js';
