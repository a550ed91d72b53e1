import fc from 'fast-check';
import t from 'tap';
import { EventSplitter } from './mod.js';

const RUNS = { seed: 21, numRuns: 300 };

function buildEvents(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id += 1) text += `id: ${id}\ndata: piece ${id}\n\n`;
  return text;
}

/** Cuts a text at the given positions, each taken modulo the text's length plus 1. */
function cutText(text: string, positions: readonly number[]): Buffer[] {
  const ends = [...positions.map((position) => position % (text.length + 1)), text.length];
  ends.sort((a, b) => a - b);
  let start = 0;
  return ends.map((end) => {
    const chunk = Buffer.from(text.slice(start, end));
    start = end;
    return chunk;
  });
}

t.test('EventSplitter returns complete events and the ID of the last one', async (t) => {
  const splitter = new EventSplitter();
  t.same(splitter.split(Buffer.from('id: 1\ndata: a\n')).bytes.length, 0);
  const { bytes, lastId } = splitter.split(Buffer.from('\nid: 2\ndata'));
  t.equal(bytes.toString(), 'id: 1\ndata: a\n\n');
  t.equal(lastId, '1');
  t.equal(splitter.pendingBytes.toString(), 'id: 2\ndata');
});

t.test('EventSplitter splits events whose lines end with CR LF', async (t) => {
  const { bytes, lastId } = new EventSplitter().split(Buffer.from('id:7\r\ndata: a\r\n\r\nid'));
  t.equal(bytes.toString(), 'id:7\r\ndata: a\r\n\r\n');
  t.equal(lastId, '7');
});

t.test('EventSplitter splits events whose lines end with CR', async (t) => {
  const { bytes, lastId, count } = new EventSplitter().split(Buffer.from('id:7\rdata: a\r\rid'));
  t.equal(bytes.toString(), 'id:7\rdata: a\r\r');
  t.same([lastId, count], ['7', 1]);
});

t.test('EventSplitter tells whether a stream ends inside an event', async (t) => {
  const cases = {
    '': false,
    'id: 1\n\n': false,
    'id: 1\n\n\n: bye\n': false,
    'id: 1\r\n\r\n\r\n': false,
    'id: 1': true,
    'id: 1\n': true,
    'id: 1\r\n\r': true,
    'id: 1\n\n: by': true,
  };
  Object.entries(cases).forEach(([text, isInside]) => {
    const splitter = new EventSplitter();
    splitter.split(Buffer.from(text));
    t.equal(splitter.isInsideEvent, isInside, JSON.stringify(text));
  });
});

t.test('EventSplitter counts the complete events', async (t) => {
  const splitter = new EventSplitter();
  t.equal(splitter.split(Buffer.from('id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid')).count, 2);
  t.equal(splitter.split(Buffer.from(': 3\ndata: c\n')).count, 0);
  t.equal(splitter.split(Buffer.from('\n')).count, 1);
});

t.test('EventSplitter refuses an event that exceeds the maximum size', async (t) => {
  const splitter = new EventSplitter();
  const chunk = Buffer.alloc(600_000, 'x');
  splitter.split(chunk);
  t.throws(() => splitter.split(chunk), RangeError);
});

t.test(
  'a stream that breaks anywhere and continues after the last event has each event once',
  async () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 20 }),
        fc.nat(2_000),
        fc.array(fc.nat(2_000), { maxLength: 8 }),
        fc.array(fc.nat(2_000), { maxLength: 8 }),
        (count, breakAt, cuts, moreCuts) => {
          const whole = buildEvents(1, count);
          const broken = whole.slice(0, breakAt % whole.length);
          let passed = '';
          let lastId = 0;
          const take = (text: string, places: readonly number[]): void => {
            const splitter = new EventSplitter();
            cutText(text, places).forEach((chunk) => {
              const events = splitter.split(chunk);
              passed += events.bytes.toString();
              if (events.lastId !== undefined) lastId = Number(events.lastId);
            });
          };
          take(broken, cuts);
          take(buildEvents(lastId + 1, count), moreCuts);
          return passed === whole;
        },
      ),
      RUNS,
    );
  },
);

t.test('EventSplitter takes an event in chunks of one byte', async (t) => {
  // Guards against processor time that grows with the square of an event's bytes.
  const splitter = new EventSplitter();
  const byte = Buffer.from('a');
  for (let index = 0; index < 1_000_000; index += 1) splitter.split(byte);
  t.equal(splitter.pendingBytes.length, 1_000_000);
  splitter.split(Buffer.from('\n'));
  const { count, bytes } = splitter.split(Buffer.from('\n'));
  t.equal(count, 1);
  t.equal(bytes.length, 1_000_002);
  t.equal(splitter.pendingBytes.length, 0);
});
