/**
 * Schemas that validate the messages between entry hosts before a handler receives them.
 *
 * @module
 */
import * as z from 'zod';
import { CrashState } from '../../domain/crashes/mod.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { Tier } from '../../domain/scheduling/tier.js';
import {
  CrashUpdateKind,
  ForwardOperation,
  PeerMessageType,
  SlotOutcome,
} from '../../ports/mod.js';
import type { PeerMessage, PeerMessageOf } from '../../ports/mod.js';
import {
  proxyCancelSchema,
  proxyProbeReplySchema,
  proxyProbeSchema,
  proxyReplySchema,
  proxyRequestSchema,
  proxyResumedSchema,
  proxyResumeSchema,
} from './_proxy_schemas.js';
import { MAX_NAME_LENGTH } from './_record_checks.js';
import {
  freedSlotSchema,
  hostReportSchema,
  identitySchema,
  waitingNoticeSchema,
} from './_report_schemas.js';

import { streamOriginsSchema, streamQuerySchema, streamReplySchema } from './_stream_schemas.js';

export { identitySchema } from './_report_schemas.js';

const MAX_TEXT_LENGTH = 65_536;
const MAX_LIST_LENGTH = 65_536;
const MAX_HEADERS = 1_000;
const MAX_TRIAL_NOTES = 64;

const name = z.string().max(MAX_NAME_LENGTH);
const text = z.string().max(MAX_TEXT_LENGTH);
const bytes = z.instanceof(Uint8Array);
const count = z.int().nonnegative();
const amount = z.number().nonnegative();
const names = z.array(name).max(MAX_LIST_LENGTH);
const revision = z.int();
const tier = z.enum(Tier);

/** A wait in ms. It may be Infinity, which `z.number()` rejects and msgpack can encode. */
const waitMs = z.custom<number>((value) => typeof value === 'number' && value >= 0);

const headers = z
  .record(name, text)
  .refine((record) => Object.keys(record).length <= MAX_HEADERS, 'too many headers');

const trialSchema = z.object({
  id: name.min(1),
  startedAgoMs: amount,
  isVoid: z.boolean().optional(),
});

/** Maximum number of client accounts that a note names. */
const MAX_NOTE_ACCOUNTS = 2;

const crashNoteSchema = z.object({
  contentId: name.min(1),
  crashId: name.min(1),
  state: z.enum(CrashState),
  isVouched: z.boolean().optional(),
  isExcused: z.boolean().optional(),
  accountIds: z.array(name).max(MAX_NOTE_ACCOUNTS).optional(),
  isHeld: z.boolean(),
  startedAgoMs: amount,
  endedAgoMs: amount,
  seenAgoMs: amount,
  trials: z.array(trialSchema).max(MAX_TRIAL_NOTES).optional(),
});

const groupLoadSchema = z.object({
  groupId: name,
  waitMs: z.array(waitMs).max(MAX_LIST_LENGTH),
  openTier: tier,
});

const forwardedCallSchema = z.object({
  serviceId: name,
  workKind: name,
  method: name,
  path: text,
  headers,
  body: bytes,
  deadlineMs: amount,
});

type SchemaTable = { readonly [T in PeerMessageType]: z.ZodType<PeerMessageOf<T>> };

const SCHEMAS: SchemaTable = {
  [PeerMessageType.Hello]: z.object({
    type: z.literal(PeerMessageType.Hello),
    identity: identitySchema,
  }),
  [PeerMessageType.Heartbeat]: z.object({
    type: z.literal(PeerMessageType.Heartbeat),
    sequence: count,
    ready: z.boolean(),
    leaving: z.boolean(),
    configurationRevision: revision,
    configurationHash: name,
    leavingBackendServers: names,
    groups: z.array(groupLoadSchema).max(MAX_LIST_LENGTH),
  }),
  [PeerMessageType.HeartbeatReply]: z.object({
    type: z.literal(PeerMessageType.HeartbeatReply),
    sequence: count,
  }),
  [PeerMessageType.HostReport]: hostReportSchema,
  [PeerMessageType.FreedSlot]: freedSlotSchema,
  [PeerMessageType.WaitingNotice]: waitingNoticeSchema,
  [PeerMessageType.FeedUpdate]: z.object({
    type: z.literal(PeerMessageType.FeedUpdate),
    // Senders of the former format know no eras.
    era: revision.default(0),
    isComplete: z.boolean().default(false),
    isCondensed: z.boolean().optional(),
    fromRevision: revision,
    toRevision: revision,
    changes: z
      .array(z.object({ key: text, value: bytes.optional(), revision }))
      .max(MAX_LIST_LENGTH) as z.ZodType<PeerMessageOf<PeerMessageType.FeedUpdate>['changes']>,
    ageMs: amount,
    wasAway: z.boolean(),
    heardSequence: count,
  }),
  [PeerMessageType.CrashUpdate]: z.object({
    type: z.literal(PeerMessageType.CrashUpdate),
    kind: z.enum(CrashUpdateKind),
    digest: name,
    notes: z.array(crashNoteSchema).max(MAX_LIST_LENGTH),
  }),
  [PeerMessageType.ConfigurationDigest]: z.object({
    type: z.literal(PeerMessageType.ConfigurationDigest),
    revisions: z.record(name, revision),
  }),
  [PeerMessageType.ConfigurationEntries]: z.object({
    type: z.literal(PeerMessageType.ConfigurationEntries),
    entries: z
      .array(z.object({ key: name, revision, value: bytes.optional() }))
      .max(MAX_LIST_LENGTH) as z.ZodType<
      PeerMessageOf<PeerMessageType.ConfigurationEntries>['entries']
    >,
  }),
  [PeerMessageType.SlotRequest]: z.object({
    type: z.literal(PeerMessageType.SlotRequest),
    ticket: count,
    groupId: name,
    accountId: name,
    weight: amount,
    tier,
    remainingMs: z.number(),
    waitedMs: amount,
    promptTokens: amount,
    expectedOutputTokens: amount,
    blockHashes: names,
    excluded: names,
  }),
  [PeerMessageType.SlotGrant]: z.object({
    type: z.literal(PeerMessageType.SlotGrant),
    ticket: count,
    grantId: count,
    backendServerId: name,
    validMs: amount,
  }),
  [PeerMessageType.SlotRefusal]: z.object({
    type: z.literal(PeerMessageType.SlotRefusal),
    ticket: count,
    kind: z.enum(ErrorKind),
    retryAfterMs: amount,
  }),
  [PeerMessageType.SlotCancel]: z.object({
    type: z.literal(PeerMessageType.SlotCancel),
    ticket: count,
  }),
  [PeerMessageType.SlotRelease]: z.object({
    type: z.literal(PeerMessageType.SlotRelease),
    groupId: name,
    grantId: count,
    outcome: z.enum(SlotOutcome),
    firstByteMs: amount,
    totalMs: amount,
    outputTokens: amount,
  }),
  [PeerMessageType.AllowanceRequest]: z.object({
    type: z.literal(PeerMessageType.AllowanceRequest),
    accountId: name,
    requestsPerSecond: amount,
    tokensPerSecond: amount,
    inFlight: amount,
    requestNumber: count,
    heldLease: count,
    running: count,
  }),
  [PeerMessageType.AllowanceLease]: z.object({
    type: z.literal(PeerMessageType.AllowanceLease),
    accountId: name,
    requestsPerSecond: amount,
    tokensPerSecond: amount,
    inFlight: amount,
    validMs: amount,
    leaseNumber: count,
    requestNumber: count,
  }),
  [PeerMessageType.ForwardCall]: z.object({
    type: z.literal(PeerMessageType.ForwardCall),
    callId: count,
    operation: z.enum(ForwardOperation),
    accountId: name,
    requestId: text,
    traceparent: name.optional(),
    call: forwardedCallSchema.optional(),
    offset: count,
    idempotencyKey: text.optional(),
  }) as z.ZodType<PeerMessageOf<PeerMessageType.ForwardCall>>,
  [PeerMessageType.ForwardHead]: z.object({
    type: z.literal(PeerMessageType.ForwardHead),
    callId: count,
    status: count,
    headers,
    isFramed: z.boolean().optional(),
  }),
  [PeerMessageType.ForwardChunk]: z.object({
    type: z.literal(PeerMessageType.ForwardChunk),
    callId: count,
    offset: count,
    bytes,
  }),
  [PeerMessageType.ForwardEnd]: z.object({
    type: z.literal(PeerMessageType.ForwardEnd),
    callId: count,
    length: count,
  }),
  [PeerMessageType.ForwardError]: z.object({
    type: z.literal(PeerMessageType.ForwardError),
    callId: count,
    kind: z.enum(ErrorKind),
    run: z.enum(RunOutcome),
    message: text,
    retryAfterMs: amount,
  }),
  [PeerMessageType.ForwardCredit]: z.object({
    type: z.literal(PeerMessageType.ForwardCredit),
    callId: count,
    bytes: count,
  }),
  [PeerMessageType.ForwardCancel]: z.object({
    type: z.literal(PeerMessageType.ForwardCancel),
    callId: count,
  }),
  [PeerMessageType.ProxyRequest]: proxyRequestSchema,
  [PeerMessageType.ProxyReply]: proxyReplySchema,
  [PeerMessageType.ProxyCancel]: proxyCancelSchema,
  [PeerMessageType.ProxyResume]: proxyResumeSchema,
  [PeerMessageType.ProxyResumed]: proxyResumedSchema,
  [PeerMessageType.ProxyProbe]: proxyProbeSchema,
  [PeerMessageType.ProxyProbeReply]: proxyProbeReplySchema,
  [PeerMessageType.StreamOrigins]: streamOriginsSchema,
  [PeerMessageType.StreamQuery]: streamQuerySchema,
  [PeerMessageType.StreamReply]: streamReplySchema,
};

const KNOWN_TYPES: ReadonlySet<unknown> = new Set(Object.values(PeerMessageType));

/**
 * Validates a decoded value as a message.
 *
 * @param decoded - any value
 * @returns the message without fields that its schema does not name
 * @throws Error that describes the unknown type or the malformed field
 */
export function parseMessage(decoded: unknown): PeerMessage {
  const type = (decoded as { type?: unknown } | null | undefined)?.type;
  if (!KNOWN_TYPES.has(type)) throw new Error('Cannot parse peer message: its type is unknown');
  const result = SCHEMAS[type as PeerMessageType].safeParse(decoded);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const where = issue?.path.join('.') ?? '';
  throw new Error(`Cannot parse peer message ${String(type)}: ${where}: ${issue?.message}`);
}
