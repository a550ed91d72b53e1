import { Writable } from 'node:stream';
import t from 'tap';
import { BoundedOutput } from './bounded_output.js';

/** A stream that accepts its first chunk and then stalls until `drain` is called. */
class StalledStream extends Writable {
  readonly received: string[] = [];

  #completeWrite: (() => void) | undefined;

  override _write(chunk: Buffer, encoding: BufferEncoding, done: () => void): void {
    this.received.push(chunk.toString());
    this.#completeWrite = done;
  }

  /** Accepts all buffered chunks. */
  async drain(): Promise<void> {
    while (this.writableLength > 0) {
      this.#completeWrite?.();
      await new Promise(setImmediate);
    }
  }
}

t.test('BoundedOutput drops lines while the reader is stalled and reports how many', async (t) => {
  // Guards against a log collector that stops reading. A log that waits for the collector
  // delays heartbeats, so that peers suspect a healthy entry host; a log that buffers without
  // a limit grows until the process is killed for its memory use.
  const stream = new StalledStream();
  const output = new BoundedOutput(stream, 100);
  for (let index = 0; index < 50; index += 1) output.write(`line ${index}\n`);
  t.ok(stream.writableLength <= 100);
  await stream.drain();
  const kept = stream.received.length;
  output.write('after\n');
  await stream.drain();
  t.equal(stream.received[kept - 1], `line ${kept - 1}\n`);
  t.match(stream.received[kept], new RegExp(`event=log_lines_dropped count=${50 - kept}\n$`));
  t.equal(stream.received[kept + 1], 'after\n');
});

t.test('BoundedOutput discards lines after the reader has disconnected', async (t) => {
  const stream = new StalledStream();
  const output = new BoundedOutput(stream);
  stream.destroy(new Error('EPIPE'));
  await new Promise(setImmediate);
  output.write('unread\n');
  t.strictSame(stream.received, []);
});
