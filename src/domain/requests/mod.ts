/**
 * Request IDs, the one-way states of requests and the ledger of an owner's requests.
 * `new RequestLedger(incarnation).accept(parseRequestId(text, key), hash, now)` returns
 * whether this call is the first with its ID, which is the only one that may run.
 *
 * @module
 */
export { formatContentId, hashContent } from './content_hash.js';
export { listSharedPartIds } from './prompt_part.js';
export type { PromptPart, RequestPrompt } from './prompt_part.js';
export { createRequestId, hashAccountId, parseRequestId } from './request_id.js';
export type { RequestId, RequestIdFields } from './request_id.js';
export { RequestLedger } from './request_ledger.js';
export type { Acceptance } from './request_ledger.js';
export { RequestRecord } from './request_record.js';
export { RequestState } from './request_state.js';
