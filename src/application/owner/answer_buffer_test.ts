import t from 'tap';
import fc from 'fast-check';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { settle as settleAll } from '../../../test/support/virtual_clock.js';
import { AnswerBuffer } from './mod.js';

async function readAll(answer: AnswerBuffer, offset: number): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const bytes of answer.read(offset)) chunks.push(bytes);
  return Buffer.concat(chunks).toString('latin1');
}

/** Reads an answer whose read is expected to fail, and returns the error. */
async function readError(answer: AnswerBuffer, offset: number): Promise<unknown> {
  return readAll(answer, offset).catch((error: unknown) => error);
}

t.test('AnswerBuffer.read() returns the rest from any offset while the answer grows', async (t) => {
  // Guards against an answer with missing or repeated bytes for a caller that lost its
  // connection and resumes at its offset while the answer still grows, when the offset
  // is mapped to the wrong chunk.
  const parts = fc.array(fc.string({ minLength: 1, maxLength: 9 }), { maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(parts, fc.nat(100), async (texts, percent) => {
      const whole = Buffer.from(texts.join(''));
      const answer = new AnswerBuffer(1_000_000);
      const reads: Promise<string>[] = [];
      const offsets: number[] = [];
      for (const text of texts) {
        answer.append(Buffer.from(text));
        const offset = Math.floor((answer.length * percent) / 100);
        offsets.push(offset);
        reads.push(readAll(answer, offset));
        await settleAll();
      }
      answer.close();
      t.same(
        await Promise.all(reads),
        offsets.map((offset) => whole.subarray(offset).toString('latin1')),
      );
    }),
    { seed: 42, numRuns: 40 },
  );
});

t.test('AnswerBuffer.read() refuses an offset that is no longer buffered', async (t) => {
  const answer = new AnswerBuffer(10);
  answer.append(Buffer.from('0123456789'));
  answer.close();
  answer.discard();
  t.match(await readError(answer, 3), { kind: ErrorKind.AnswerNoLongerKept, run: 'ran' });
});

t.test('AnswerBuffer applies backpressure for a slow reader and loses no bytes', async (t) => {
  const answer = new AnswerBuffer(4);
  const reader = answer.read(0);
  const first = reader.next();
  answer.append(Buffer.from('abcd'));
  await first;
  answer.append(Buffer.from('efgh'));
  let hasRoom = false;
  const waiting = answer.waitForCapacity().then(() => {
    hasRoom = true;
  });
  await settleAll();
  t.notOk(hasRoom, 'the reader has not read the excess bytes');
  t.equal(Buffer.from((await reader.next()).value as Uint8Array).toString(), 'efgh');
  const end = reader.next();
  await waiting;
  answer.close();
  t.ok((await end).done);
});

t.test('AnswerBuffer.read() fails where the answer breaks off', async (t) => {
  const answer = new AnswerBuffer(100);
  answer.append(Buffer.from('half'));
  answer.close(new SchedulerError(ErrorKind.AnswerCut));
  t.match(await readError(answer, 0), { kind: ErrorKind.AnswerCut });
});
