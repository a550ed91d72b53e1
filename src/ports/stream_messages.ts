/**
 * Defines the messages by which entry hosts tell each other at which software version streams began.
 *
 * @module
 */
import type { PeerMessageType } from './peer_message_type.js';

/** Tells where streams of one service and version began. */
export interface StreamOriginsMessage {
  readonly type: PeerMessageType.StreamOrigins;
  readonly serviceId: string;
  /** Software version; undefined: the keys name streams of several versions. */
  readonly version?: string | undefined;
  readonly keys: readonly string[];
  /** Age of each record, in milliseconds. */
  readonly agesMs: readonly number[];
}

/** Asks where a stream began. */
export interface StreamQueryMessage {
  readonly type: PeerMessageType.StreamQuery;
  /** ID of the query; unique within the sender's incarnation. */
  readonly queryId: number;
  readonly key: string;
}

/** Answers a query. */
export interface StreamReplyMessage {
  readonly type: PeerMessageType.StreamReply;
  readonly queryId: number;
  /** Whether the sender knows the stream. */
  readonly isKnown: boolean;
  readonly serviceId?: string | undefined;
  /** Software version; undefined for a known stream: its key names streams of several versions. */
  readonly version?: string | undefined;
}
