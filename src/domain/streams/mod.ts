/**
 * Event streams that another backend server can continue, and the ends of answers:
 * `new EventSplitter().split(chunk).bytes` contains complete events only.
 *
 * @module
 */
export { EventSplitter } from './event_splitter.js';
export type { CompleteEvents } from './event_splitter.js';
export { AnswerEnd, classifyAnswerEnd, describeBrokenEnd } from './answer_end.js';
export type { AnswerEndFacts } from './answer_end.js';
export { mayContinueStream, parseSoftwareVersion } from './software_version.js';
export type { SoftwareVersion, StreamOrigin } from './software_version.js';
export { AMBIGUOUS_ORIGIN, OriginKind, OriginTable, RecordEffect } from './origin_table.js';
export type { AgedRecord, OriginRecord } from './origin_table.js';
export { hashStreamKey } from './stream_key.js';
export { VersionHistory } from './version_history.js';
export type { VersionedServer } from './version_history.js';
