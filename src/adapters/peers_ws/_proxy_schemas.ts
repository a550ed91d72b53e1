/**
 * Schemas of the messages by which entry hosts send requests for each other.
 *
 * @module
 */
import * as z from 'zod';
import {
  BackendFailure,
  PauseKind,
  PeerMessageType,
  ProxyEventKind,
  RateLimitKind,
  Reachability,
} from '../../ports/mod.js';
import type { PeerMessageOf } from '../../ports/mod.js';
import { MAX_NAME_LENGTH } from './_record_checks.js';

const MAX_TEXT_LENGTH = 65_536;
const MAX_HEADER_FIELDS = 2_000;

const MAX_RESUMED_EXCHANGES = 65_536;

const name = z.string().max(MAX_NAME_LENGTH);
const text = z.string().max(MAX_TEXT_LENGTH);
const bytes = z.instanceof(Uint8Array);
const count = z.int().nonnegative();
const amount = z.number().nonnegative();
const headers = z.array(text).max(MAX_HEADER_FIELDS);

const requestSchema = z.object({
  requestId: text,
  method: name,
  target: text,
  headers,
  body: bytes,
  address: name,
  serverId: name,
  incarnationId: name,
  accountId: name.optional(),
  deadlineMs: amount,
  lastEventId: text.optional(),
  urgency: amount,
});

const pauseSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(PauseKind.Asked), pauseMs: amount }),
  z.object({ kind: z.literal(PauseKind.Invalid), text }),
]);

/** Fields of every notice; those of earlier versions lack the last two. */
const noticeFields = {
  declinesPerSecond: amount.optional(),
  isLeaving: z.boolean().optional(),
  pause: pauseSchema.optional(),
};

const noticeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RateLimitKind.None), ...noticeFields }),
  z.object({
    kind: z.literal(RateLimitKind.Limited),
    requestsPerSecond: amount,
    ...noticeFields,
  }),
  z.object({ kind: z.literal(RateLimitKind.Invalid), text, ...noticeFields }),
]);

const headSchema = z.object({
  status: count,
  headers,
  isAuthentic: z.boolean(),
  isEventStream: z.boolean(),
  isFramed: z.boolean(),
  load: z.object({ running: amount, waiting: amount, slots: amount }).optional(),
});

const eventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(ProxyEventKind.Notice),
    notice: noticeSchema,
    isAuthentic: z.boolean(),
  }),
  z.object({ kind: z.literal(ProxyEventKind.Head), head: headSchema }),
  z.object({ kind: z.literal(ProxyEventKind.Body), bytes }),
  z.object({ kind: z.literal(ProxyEventKind.Complete) }),
  z.object({
    kind: z.literal(ProxyEventKind.Failure),
    failure: z.enum(BackendFailure),
    reason: text,
    isBusy: z.boolean(),
  }),
]);

/** Schema of a request that a peer sends. */
export const proxyRequestSchema = z.object({
  type: z.literal(PeerMessageType.ProxyRequest),
  exchangeId: count,
  request: requestSchema,
}) as z.ZodType<PeerMessageOf<PeerMessageType.ProxyRequest>>;

/** Schema of an event of such a request. */
export const proxyReplySchema = z.object({
  type: z.literal(PeerMessageType.ProxyReply),
  exchangeId: count,
  index: count,
  event: eventSchema,
}) as z.ZodType<PeerMessageOf<PeerMessageType.ProxyReply>>;

/** Schema of the cancellation of such a request. */
export const proxyCancelSchema = z.object({
  type: z.literal(PeerMessageType.ProxyCancel),
  exchangeId: count,
});

/** Schema of the exchanges that a peer goes on with. */
export const proxyResumeSchema = z.object({
  type: z.literal(PeerMessageType.ProxyResume),
  resumeId: count,
  exchanges: z
    .array(z.object({ exchangeId: count, nextIndex: count, ageMs: amount }))
    .max(MAX_RESUMED_EXCHANGES),
});

/** Schema of the confirmation that they go on. */
export const proxyResumedSchema = z.object({
  type: z.literal(PeerMessageType.ProxyResumed),
  resumeId: count,
});

/** Schema of a probe that a peer makes. */
export const proxyProbeSchema = z.object({
  type: z.literal(PeerMessageType.ProxyProbe),
  probeId: count,
  address: name,
});

/** Schema of the result of such a probe. */
export const proxyProbeReplySchema = z.object({
  type: z.literal(PeerMessageType.ProxyProbeReply),
  probeId: count,
  reachability: z.enum(Reachability),
  reachesOthers: z.boolean().optional(),
});
