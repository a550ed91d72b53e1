import { Writable } from 'node:stream';
import t from 'tap';
import { BoundedOutput } from './bounded_output.js';

/** A reader that takes nothing until it is told to. */
class StalledStream extends Writable {
  readonly taken: string[] = [];

  #resume: (() => void) | undefined;

  override _write(chunk: Buffer, encoding: BufferEncoding, done: () => void): void {
    this.taken.push(chunk.toString());
    this.#resume = done;
  }

  /** Takes everything that waits. */
  async takeAll(): Promise<void> {
    while (this.writableLength > 0) {
      this.#resume?.();
      await new Promise(setImmediate);
    }
  }
}

t.test('BoundedOutput drops lines while nobody reads, and tells how many', async (t) => {
  // Symptom: an entry host that peers suspect while nothing is wrong with it,
  // or one that is killed for its memory. The collector of its log has stopped
  // reading; a log that waits for it holds up heartbeats, one that doesn't
  // grows without end.
  const stream = new StalledStream();
  const output = new BoundedOutput(stream, 100);
  for (let index = 0; index < 50; index += 1) output.write(`line ${index}\n`);
  t.ok(stream.writableLength <= 100);
  await stream.takeAll();
  const kept = stream.taken.length;
  output.write('after\n');
  await stream.takeAll();
  t.equal(stream.taken[kept - 1], `line ${kept - 1}\n`);
  t.match(stream.taken[kept], new RegExp(`event=log_lines_dropped count=${50 - kept}\n$`));
  t.equal(stream.taken[kept + 1], 'after\n');
});

t.test('BoundedOutput goes on when the reader has gone', async (t) => {
  const stream = new StalledStream();
  const output = new BoundedOutput(stream);
  stream.destroy(new Error('EPIPE'));
  await new Promise(setImmediate);
  output.write('unread\n');
  t.strictSame(stream.taken, []);
});
