import t from 'tap';
import type { Test } from 'tap';
import {
  ENDLESS_FRAMES,
  ENDLESS_HEADS,
  MAX_BUFFERED_BYTES,
  startEndlessServer,
} from '../../../test/support/endless_server.js';
import { BackendCallStage } from '../../ports/mod.js';
import { RawEngine } from './_raw_engine.js';

/** Checks that a call fails at a stage before its server has sent more than sockets hold. */
async function checkFails(
  t: Test,
  cases: typeof ENDLESS_HEADS,
  run: (engine: RawEngine) => Promise<unknown>,
  stage: BackendCallStage,
): Promise<void> {
  for (const [name, [first, repeated]] of Object.entries(cases)) {
    const server = await startEndlessServer(t, first, repeated);
    t.equal(await run(new RawEngine(t, server.address)), stage, name);
    await server.closed;
    t.ok(server.countSent() < MAX_BUFFERED_BYTES, `${name}: the connection closes early`);
  }
}

t.test('dispatch() fails on an answer that never becomes one', async (t) => {
  // Guards against a server that holds a call and processor time until the call's deadline.
  await checkFails(t, ENDLESS_HEADS, (engine) => engine.run(), BackendCallStage.AfterHandOver);
  await checkFails(t, ENDLESS_FRAMES, (engine) => engine.run(), BackendCallStage.Answering);
});

t.test('dispatch() fails on endless bytes in place of 100 Continue', async (t) => {
  // Guards against a call that counts as one that may have run, though its body was never sent.
  const { BeforeHandOver } = BackendCallStage;
  await checkFails(t, ENDLESS_HEADS, (engine) => engine.run(true), BeforeHandOver);
});

t.test('resume() and the reports fail on an answer that never becomes one', async (t) => {
  // Guards against a server that holds processor time for as long as its stream is wanted.
  const cases = { ...ENDLESS_HEADS, ...ENDLESS_FRAMES };
  const { Answering } = BackendCallStage;
  await checkFails(t, cases, (engine) => engine.resume(), Answering);
  const readLoad = ({ client, backendServer }: RawEngine): Promise<unknown> =>
    client.readLoad(backendServer).catch((error: { stage: BackendCallStage }) => error.stage);
  await checkFails(t, cases, readLoad, Answering);
});

t.test('dispatch() does not read a refusal without end', async (t) => {
  // Guards against a body that nobody waits for and that is read for good.
  const refusal = 'HTTP/1.1 503 No\r\nRun-Outcome: not_run\r\n\r\n';
  await checkFails(
    t,
    { 'a refusal': [refusal, 'z'] },
    (engine) => engine.run(),
    BackendCallStage.AfterHandOver,
  );
});

t.test('a stream without end that nobody reads is not read ahead', async (t) => {
  // Guards against buffers that grow with what a server sends.
  const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
  const server = await startEndlessServer(t, head, ': busy\n');
  const { client, backendServer } = new RawEngine(t, server.address);
  const controller = new AbortController();
  const answer = await client.resume({
    backendServer,
    streamId: 's-1',
    offset: 0,
    signal: controller.signal,
  });
  let readBytes = 0;
  for await (const bytes of answer.body) {
    readBytes += bytes.length;
    if (readBytes > 1_000_000) break;
  }
  t.ok(server.countSent() < MAX_BUFFERED_BYTES, `${server.countSent()} bytes were sent`);
  controller.abort();
});
