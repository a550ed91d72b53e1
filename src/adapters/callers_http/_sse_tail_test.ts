import t from 'tap';
import fc from 'fast-check';
import { SseTail } from './_sse_tail.js';

t.test('SseTail lets whole events through, whatever the pieces', async (t) => {
  const event = fc.constantFrom(
    'data: a\n\n',
    'data: b\r\n\r\n',
    ': c\ndata: d\r\n\n',
    'half',
    '\n',
  );
  fc.assert(
    fc.property(fc.array(event), fc.array(fc.nat(8)), (events, cuts) => {
      const text = events.join('');
      const tail = new SseTail();
      let given = '';
      let at = 0;
      [...cuts, text.length].forEach((length) => {
        given += tail.take(Buffer.from(text.slice(at, at + length))).toString();
        at += length;
        t.match(given, /^([^]*\n\r?\n)?$/);
      });
      t.equal(given + tail.takeRest().toString(), text);
    }),
    { seed: 42, numRuns: 200 },
  );
});

t.test('SseTail does not hold an endless event back', async (t) => {
  t.equal(new SseTail().take(Buffer.alloc(70_000, 'x')).length, 70_000);
});
