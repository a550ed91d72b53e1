import t from 'tap';
import { ByteChunks } from './byte_chunks.js';

t.test('ByteChunks gives all bytes in order, once', async (t) => {
  const chunks = new ByteChunks();
  t.equal(chunks.take().length, 0);
  const text = Array.from({ length: 3_000 }, (_, index) => String(index % 10));
  text.forEach((digit) => chunks.append(Buffer.from(digit)));
  t.equal(chunks.length, 3_000);
  t.equal(chunks.take().toString(), text.join(''));
  t.equal(chunks.length, 0);
  t.equal(chunks.take().length, 0);
});

t.test('ByteChunks joins many small chunks', async (t) => {
  // Guards against a body in chunks of one byte that takes many times its size in memory.
  const chunks = new ByteChunks();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < 400_000; index += 1) chunks.append(Buffer.from('a'));
  global.gc?.();
  const grownBytes = process.memoryUsage().heapUsed - before;
  t.ok(grownBytes < 30_000_000, `${grownBytes} bytes`);
  t.equal(chunks.take().length, 400_000);
});
