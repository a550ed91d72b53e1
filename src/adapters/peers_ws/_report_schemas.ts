/**
 * Schemas of the messages by which entry hosts report load, limits and waiting calls.
 *
 * @module
 */
import * as z from 'zod';
import { ReportScope } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { PeerMessageOf } from '../../ports/mod.js';
import {
  countsSchema,
  figuresByUrgencySchema,
  integersSchema,
  MAX_NAME_LENGTH,
  numbersSchema,
} from './_record_checks.js';

const MAX_LIST_LENGTH = 65_536;

const name = z.string().max(MAX_NAME_LENGTH);
const count = z.int().nonnegative();
const amount = z.number().nonnegative();
const names = z.array(name).max(MAX_LIST_LENGTH);

/** Schema of the identity of an entry host, which the handshake sends too. */
export const identitySchema = z.object({
  id: name.min(1),
  incarnation: name.min(1),
  url: name,
  peerUrl: name,
  availabilityZone: name,
  // Hosts of earlier versions lack it.
  keepsStreamOrigins: z.boolean().optional(),
  resumesExchanges: z.boolean().optional(),
});

const rosterEntrySchema = z.object({
  state: z.object({
    identity: identitySchema,
    bornAtMs: z.number(),
    version: count,
    cores: amount,
    isServing: z.boolean(),
    isInTouch: z.boolean(),
    // Entries of earlier versions lack it.
    isCutOff: z.boolean().optional(),
    isLeaving: z.boolean(),
  }),
  isHeard: z.boolean(),
});

const rateLimitSchema = z.object({
  version: count,
  requestsPerSecond: amount.optional(),
  ageMs: amount,
});

/** Schema of the periodic report of an entry host. */
export const hostReportSchema = z.object({
  type: z.literal(PeerMessageType.HostReport),
  sequence: count,
  heardSequence: count,
  scope: z.enum(ReportScope),
  hostCount: count,
  inFlight: countsSchema,
  waitingCalls: countsSchema,
  firstWaiting: numbersSchema,
  // Reports of earlier versions lack this field.
  callingHosts: countsSchema.default({}),
  avoidedBy: countsSchema,
  spentUnits: numbersSchema,
  endedServers: names,
  // Reports of earlier versions lack the next four fields.
  leavingServers: names.default([]),
  rateLimits: z.record(name, rateLimitSchema).default({}),
  refusalLimits: z.record(name, z.object({ declinesPerSecond: amount, ageMs: amount })).default({}),
  configurationVersion: count.default(0),
  speeds: integersSchema.optional(),
  view: count.optional(),
  knownHosts: count.optional(),
  roster: z.array(rosterEntrySchema).max(MAX_LIST_LENGTH),
  rosterRevision: count,
  heardRosterRevision: count,
  heardScope: z.enum(ReportScope).optional(),
  // Reports of earlier versions lack the next three fields.
  waitingByUrgency: figuresByUrgencySchema.default({}),
  startedByUrgency: figuresByUrgencySchema.default({}),
  accountUsage: countsSchema.default({}),
}) as z.ZodType<PeerMessageOf<PeerMessageType.HostReport>>;

/** Schema of a slot or turn that is passed on. */
export const freedSlotSchema = z.object({
  type: z.literal(PeerMessageType.FreedSlot),
  serverId: name,
  hops: count,
  turn: z.object({ heardSequence: count, ageMs: amount }).optional(),
  lent: z.object({ loanId: count, heardSequence: count, ageMs: amount }).optional(),
  returned: z.object({ loanId: count, wasDeclined: z.boolean() }).optional(),
});

/** Schema of the announcement of a waiting call. */
export const waitingNoticeSchema = z.object({
  type: z.literal(PeerMessageType.WaitingNotice),
  serviceId: name,
  calls: count,
  firstUrgency: z.number(),
});
