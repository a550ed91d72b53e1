/**
 * Decodes one answer of a platform service.
 *
 * @module
 */
import * as z from 'zod';
import type { PlatformSnapshot } from '../../ports/mod.js';

const indexSchema = z
  .string()
  .regex(/^\d{1,15}$/)
  .transform(Number);

const answerSchema = z.array(
  z.looseObject({
    Key: z.string(),
    // An empty value is published as null.
    Value: z.base64().nullable(),
    ModifyIndex: z.number().int().min(1),
  }),
);

/**
 * Decodes an answer. Nothing of a malformed one is used: half a snapshot would
 * look as if the other half had been deleted.
 *
 * @param indexHeader - the header that carries the service's index
 * @param body - the answer's JSON text
 * @returns the snapshot
 * @throws Error when the answer isn't one of the published protocol
 */
export function decodeSnapshot(indexHeader: string, body: string): PlatformSnapshot {
  const index = indexSchema.safeParse(indexHeader);
  if (!index.success) {
    throw new Error(`Cannot read the platform service: "${indexHeader}" is no index`);
  }
  const entries = answerSchema.safeParse(parseJson(body));
  if (!entries.success) {
    const issue = entries.error.issues[0];
    throw new Error(
      `Cannot read the platform service: its answer is malformed at ${issue?.path.join('.')}`,
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
