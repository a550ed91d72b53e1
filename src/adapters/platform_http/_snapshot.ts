/**
 * Decodes the response of a platform service to a read of a key prefix.
 *
 * @module
 */
import * as z from 'zod';
import type { PlatformSnapshot } from '../../ports/mod.js';

const indexSchema = z
  .string()
  .regex(/^\d{1,15}$/)
  .transform(Number);

const responseSchema = z.array(
  z.looseObject({
    Key: z.string(),
    // The service encodes an empty value as null.
    Value: z.base64().nullable(),
    ModifyIndex: z.number().int().min(1),
  }),
);

/**
 * Decodes a response. Rejects a malformed response as a whole, since the entries missing from a
 * partial snapshot would be taken for deleted ones.
 *
 * @param indexHeader - value of the header that carries the index of the service
 * @param body - JSON text of the response
 * @returns the snapshot
 * @throws Error when the index or the body is malformed
 */
export function decodeSnapshot(indexHeader: string, body: string): PlatformSnapshot {
  const index = indexSchema.safeParse(indexHeader);
  if (!index.success) {
    throw new Error(`Cannot read the platform service: "${indexHeader}" is no index`);
  }
  const entries = responseSchema.safeParse(parseJson(body));
  if (!entries.success) {
    const issue = entries.error.issues[0];
    throw new Error(
      `Cannot read the platform service: the response is malformed at ${issue?.path.join('.')}`,
    );
  }
  return {
    index: index.data,
    entries: entries.data.map(({ Key, Value, ModifyIndex }) => ({
      key: Key,
      value: Buffer.from(Value ?? '', 'base64'),
      modifyIndex: ModifyIndex,
    })),
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
