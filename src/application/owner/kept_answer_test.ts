import t from 'tap';
import fc from 'fast-check';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { settle as settleAll } from '../../../test/support/virtual_clock.js';
import { KeptAnswer } from './mod.js';

async function readAll(answer: KeptAnswer, offset: number): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const bytes of answer.read(offset)) chunks.push(bytes);
  return Buffer.concat(chunks).toString('latin1');
}

/** Reads an answer that is expected to fail. */
async function readError(answer: KeptAnswer, offset: number): Promise<unknown> {
  return readAll(answer, offset).catch((error: unknown) => error);
}

t.test('KeptAnswer.read() gives the rest from any offset, however the answer grows', async (t) => {
  // Symptom: a caller that reconnected got an answer with a hole or a doubled
  // part. Sequence: it read some bytes, lost its connection, came back at its
  // offset while the answer still grew. Cause: an offset off by a chunk.
  const parts = fc.array(fc.string({ minLength: 1, maxLength: 9 }), { maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(parts, fc.nat(100), async (texts, percent) => {
      const whole = Buffer.from(texts.join(''));
      const answer = new KeptAnswer(1_000_000);
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

t.test('KeptAnswer.read() refuses an offset that is no longer kept', async (t) => {
  const answer = new KeptAnswer(10);
  answer.append(Buffer.from('0123456789'));
  answer.close();
  answer.drop();
  t.match(await readError(answer, 3), { kind: ErrorKind.AnswerNoLongerKept, run: 'ran' });
});

t.test('KeptAnswer holds back a fast engine for a slow reader and loses nothing', async (t) => {
  const answer = new KeptAnswer(4);
  const reader = answer.read(0);
  const first = reader.next();
  answer.append(Buffer.from('abcd'));
  await first;
  answer.append(Buffer.from('efgh'));
  let hasRoom = false;
  const waiting = answer.waitForRoom().then(() => {
    hasRoom = true;
  });
  await settleAll();
  t.notOk(hasRoom, 'the reader lacks more than is kept');
  t.equal(Buffer.from((await reader.next()).value as Uint8Array).toString(), 'efgh');
  const end = reader.next();
  await waiting;
  answer.close();
  t.ok((await end).done);
});

t.test('KeptAnswer.read() fails where the answer broke off', async (t) => {
  const answer = new KeptAnswer(100);
  answer.append(Buffer.from('half'));
  answer.close(new SchedulerError(ErrorKind.AnswerCut));
  t.match(await readError(answer, 0), { kind: ErrorKind.AnswerCut });
});
