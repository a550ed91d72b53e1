import t from 'tap';
import { BufferCollector } from './mod.js';

const MAX_BYTES = 1_000;

const STEP_BYTES = 100;

/** Records chunks, of which only collections free anything. */
function playChunks(chunkCount: number, youngShare: number): { peak: number; kinds: string[] } {
  let bytes = 0;
  let peak = 0;
  const kinds: string[] = [];
  const collector = new BufferCollector({
    maxBytes: MAX_BYTES,
    stepBytes: STEP_BYTES,
    measureBytes: () => bytes,
    collect: (options) => {
      kinds.push(options?.type ?? 'major');
      bytes = options ? bytes * (1 - youngShare) : 0;
    },
  });
  for (let count = 0; count < chunkCount; count += 1) {
    bytes += 10;
    collector.record(10);
    peak = Math.max(peak, bytes);
  }
  return { peak, kinds };
}

t.test('BufferCollector does nothing below its limit', async (t) => {
  t.strictSame(playChunks(100, 0).kinds, []);
});

// Guards against a host that ends for buffers that nobody uses, as the engine collects them late.
t.test('BufferCollector bounds what was not collected', async (t) => {
  const { peak, kinds } = playChunks(1_000, 0);
  t.ok(peak <= MAX_BYTES + STEP_BYTES, `${peak} bytes`);
  t.ok(kinds.includes('major'));
});

// Guards against long collections where short ones do.
t.test('BufferCollector first collects what was allocated lately', async (t) => {
  const { peak, kinds } = playChunks(1_000, 0.9);
  t.ok(peak <= MAX_BYTES + STEP_BYTES, `${peak} bytes`);
  t.ok(kinds.every((kind) => kind === 'minor') && kinds.length > 1);
});

// Guards against a host that does nothing but collect while its buffers are in use.
t.test('BufferCollector does not try again and again where all is in use', async (t) => {
  let bytes = 2 * MAX_BYTES;
  let collections = 0;
  const collector = new BufferCollector({
    maxBytes: MAX_BYTES,
    stepBytes: STEP_BYTES,
    measureBytes: () => bytes,
    collect: () => {
      collections += 1;
    },
  });
  for (let count = 0; count < 100; count += 1) collector.record(STEP_BYTES);
  t.equal(collections, 2, 'a short one and a whole one');
  bytes += 4 * STEP_BYTES;
  collector.record(STEP_BYTES);
  t.equal(collections, 4, 'after they have grown');
});

// Guards against an engine that doesn't hand its function out.
t.test('BufferCollector collects real buffers', async (t) => {
  const collector = new BufferCollector({ maxBytes: 4_000_000, stepBytes: 1_000_000 });
  let most = 0;
  for (let count = 0; count < 500; count += 1) {
    const chunk = Buffer.allocUnsafeSlow(100_000);
    collector.record(chunk.length);
    most = Math.max(most, process.memoryUsage().arrayBuffers);
  }
  t.ok(collector.collections > 0);
  t.ok(most < 40_000_000, `${most} bytes of 50 million`);
});
