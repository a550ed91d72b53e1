import t from 'tap';
import fc from 'fast-check';
import { SseEventBuffer } from './_sse_event_buffer.js';

t.test('SseEventBuffer emits only complete events, however the stream is split', async (t) => {
  const event = fc.constantFrom(
    'data: a\n\n',
    'data: b\r\n\r\n',
    ': c\ndata: d\r\n\n',
    'half',
    '\n',
  );
  fc.assert(
    fc.property(fc.array(event), fc.array(fc.nat(8)), (events, chunkLengths) => {
      const text = events.join('');
      const buffer = new SseEventBuffer();
      let output = '';
      let offset = 0;
      [...chunkLengths, text.length].forEach((length) => {
        output += buffer.push(Buffer.from(text.slice(offset, offset + length))).toString();
        offset += length;
        t.match(output, /^([^]*\n\r?\n)?$/);
      });
      t.equal(output + buffer.flush().toString(), text);
    }),
    { seed: 42, numRuns: 200 },
  );
});

t.test('SseEventBuffer does not buffer an endless event', async (t) => {
  t.equal(new SseEventBuffer().push(Buffer.alloc(70_000, 'x')).length, 70_000);
});
