import t from 'tap';
import { Channel, CLOSED, Overflow, settle, Signal, startProcess } from './mod.js';

t.test('Channel delivers values in order, then CLOSED', async (t) => {
  const channel = new Channel<number>({ capacity: 2 });
  const taken = startProcess(function* takeAll() {
    const values: number[] = [];
    for (;;) {
      const value = yield* channel.take();
      if (value === CLOSED) return values;
      values.push(value);
    }
  });
  await startProcess(function* putAll() {
    for (const value of [1, 2, 3, 4, 5]) yield* channel.put(value);
    channel.close();
  });
  t.same(await taken, [1, 2, 3, 4, 5]);
});

t.test('Channel with sliding overflow keeps the newest value', async (t) => {
  const channel = new Channel<number>({ capacity: 1, overflow: Overflow.Slide });
  t.ok(channel.offer(1));
  t.ok(channel.offer(2));
  t.equal(await channel.takeAsync(), 2);
});

t.test('startProcess() rejects with an error thrown by the process', async (t) => {
  // Guards against requests that never end: js-csp drops an error thrown by a
  // process, so the caller that waits for its result would wait forever.
  const failing = startProcess(function* fail() {
    yield* settle(Promise.reject(new Error('no')));
  });
  await t.rejects(failing, { message: 'no' });
});

t.test('Signal merges several notifications into one wake-up', async (t) => {
  const signal = new Signal();
  signal.notify();
  signal.notify();
  await signal.wait();
  let woken = false;
  const waiting = signal.wait().then(() => {
    woken = true;
  });
  await new Promise(setImmediate);
  t.notOk(woken);
  signal.close();
  await waiting;
  t.ok(woken);
});
