import t from 'tap';
import fc from 'fast-check';
import { ErrorKind, SchedulerError } from '../errors/mod.js';
import { createRequestId, hashAccountId, parseRequestId } from './mod.js';

const KEY = Buffer.alloc(32, 7);
const FIELDS = {
  ownerId: 'entry-1',
  incarnation: '00112233445566aa',
  nonce: Buffer.alloc(12, 9),
  accountId: 'firm-a',
  expiresAtMs: 1_800_000_000_123,
};

/** Finds the kind of error with which a text is refused; undefined if it is accepted. */
function findRefusal(text: string, key = KEY): ErrorKind | undefined {
  try {
    parseRequestId(text, key);
    return undefined;
  } catch (error) {
    return error instanceof SchedulerError ? error.kind : ErrorKind.Internal;
  }
}

t.test('parseRequestId() returns the fields given to createRequestId()', async (t) => {
  const id = createRequestId(FIELDS, KEY);
  t.same(parseRequestId(id.text, KEY), id);
  t.equal(id.ownerId, 'entry-1');
  t.equal(id.expiresAtMs, FIELDS.expiresAtMs);
  t.equal(id.accountHash, hashAccountId('firm-a'));
});

t.test('parseRequestId() refuses an ID created with another key', async (t) => {
  const { text } = createRequestId(FIELDS, KEY);
  t.equal(findRefusal(text, Buffer.alloc(32, 8)), ErrorKind.RequestIdInvalid);
});

t.test('parseRequestId() accepts only one text per request', async (t) => {
  // Guards against a request that runs twice under one ID, which arrives in two spellings
  // that decode alike, since base64url decoding ignores padding bits and foreign characters.
  const { text } = createRequestId(FIELDS, KEY);
  [`${text}=`, `${text}.`, `${text} `, text.replace('mh1_', 'MH1_')].forEach((other) => {
    t.equal(findRefusal(other), ErrorKind.RequestIdInvalid, other);
  });
});

t.test('parseRequestId() refuses every text with one character changed', async (t) => {
  const { text } = createRequestId(FIELDS, KEY);
  fc.assert(
    fc.property(fc.nat(text.length - 1), fc.constantFrom(...'ABCxyz019-_'), (at, letter) => {
      fc.pre(text[at] !== letter);
      const changed = text.slice(0, at) + letter + text.slice(at + 1);
      t.equal(findRefusal(changed), ErrorKind.RequestIdInvalid);
    }),
    { seed: 42, numRuns: 300 },
  );
});

t.test('parseRequestId() refuses arbitrary text', async (t) => {
  fc.assert(
    fc.property(fc.string({ maxLength: 300 }), (text) => {
      t.equal(findRefusal(`mh1_${text}`), ErrorKind.RequestIdInvalid);
    }),
    { seed: 42, numRuns: 300 },
  );
});
