/**
 * Schemas of the messages by which entry hosts tell each other where streams began.
 *
 * @module
 */
import * as z from 'zod';
import { PeerMessageType } from '../../ports/mod.js';
import type { PeerMessageOf } from '../../ports/mod.js';
import { MAX_NAME_LENGTH } from './_record_checks.js';

/** Maximum number of records in one message. */
const MAX_RECORDS = 4_096;

const name = z.string().max(MAX_NAME_LENGTH);
const count = z.int().nonnegative();

/** Schema of records of streams. */
export const streamOriginsSchema = z
  .object({
    type: z.literal(PeerMessageType.StreamOrigins),
    serviceId: name,
    version: name.optional(),
    keys: z.array(name).max(MAX_RECORDS),
    agesMs: z.array(z.number().nonnegative()).max(MAX_RECORDS),
  })
  .refine(
    ({ keys, agesMs }) => keys.length === agesMs.length,
    'not one age for each key',
  ) as z.ZodType<PeerMessageOf<PeerMessageType.StreamOrigins>>;

/** Schema of a question about a stream. */
export const streamQuerySchema = z.object({
  type: z.literal(PeerMessageType.StreamQuery),
  queryId: count,
  key: name,
});

/** Schema of the answer to it. */
export const streamReplySchema = z.object({
  type: z.literal(PeerMessageType.StreamReply),
  queryId: count,
  isKnown: z.boolean(),
  serviceId: name.optional(),
  version: name.optional(),
}) as z.ZodType<PeerMessageOf<PeerMessageType.StreamReply>>;
