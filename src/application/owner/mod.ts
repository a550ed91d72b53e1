/**
 * The owner's side of a request: takes a call in at most once, gets it a slot,
 * dispatches it, and keeps its answer for whoever asks again.
 * `new OwnerService(options).submit(id, call, callerGone)` gives the answer.
 *
 * @module
 */
export { KeptAnswer } from './kept_answer.js';
export type { AnswerHead } from './kept_answer.js';
export { AnswerStore } from './answer_store.js';
export type { AnswerStoreOptions } from './answer_store.js';
export { OwnedRequest } from './owned_request.js';
export { OwnerService } from './owner_service.js';
export type { OwnerServiceOptions } from './owner_service.js';
export type { OwnedCall } from './owned_call.js';
