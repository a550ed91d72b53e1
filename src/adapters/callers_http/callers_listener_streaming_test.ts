import t from 'tap';
import { once } from 'node:events';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { buildAnswer, formatChat, RawConnection, sendRaw, startFixture } from './_test_fixture.js';

const SSE = 'text/event-stream; charset=utf-8';

t.test('CallersListener ends an interrupted event stream with an error event', async (t) => {
  // Guards against a parser failure at the caller: the engine crashes within an event, and
  // the error event directly follows the first half of that event. Chunks of a stream end
  // anywhere, so an incomplete event must not be sent before the rest of it has arrived.
  const { port, gateway } = await startFixture(t);
  const lost = new SchedulerError(ErrorKind.BackendServerLost);
  gateway.answer = async () => buildAnswer(['data: {"a":1}\n', '\ndata: {"b', lost], SSE);
  const answer = await sendRaw(port, formatChat());
  const data = [...answer.matchAll(/^data: (.*)$/gm)].map(([, json]) => JSON.parse(json ?? ''));
  t.match(data, [{ a: 1 }, { error: { code: 'backend_server_lost', run: 'may_have_run' } }]);
  t.match(answer, /\r\n0\r\n\r\n$/, 'the chunked encoding ends normally');
});

t.test('CallersListener drops the connection of any other answer that breaks off', async (t) => {
  // Guards against half a report being taken for the complete one: an interrupted answer
  // whose response ends normally looks complete.
  const { port, gateway, log } = await startFixture(t);
  gateway.answer = async () => buildAnswer(['{"half":', new Error('engine died')]);
  t.notMatch(await sendRaw(port, formatChat()), /\r\n0\r\n\r\n$/, 'the last chunk is missing');
  t.match(log.lines.at(-1)?.fields, { kind: ErrorKind.AnswerCut, run: 'ran' });

  // Node's client takes a reset that arrives together with bytes for a normal end, so the
  // answer breaks off only after its first half has arrived.
  const old = new RawConnection(port);
  gateway.answer = async () =>
    buildAnswer(
      (async function* breakOff(): AsyncGenerator<string> {
        yield '{"half":';
        await old.waitFor(/half/);
        throw new Error('engine died');
      })(),
    );
  const reset = once(old.socket, 'error');
  old.socket.write(formatChat().replace('HTTP/1.1', 'HTTP/1.0'));
  t.match(
    await reset,
    [{ code: 'ECONNRESET' }],
    'HTTP/1.0 has no chunks, so the connection is reset',
  );
});

t.test('CallersListener reads an answer no faster than its caller reads it', async (t) => {
  // Guards against memory that grows with the answers of slow callers: the process buffers
  // everything that is written without waiting for 'drain'.
  const { port, gateway, clock, log } = await startFixture(t);
  let produced = 0;
  async function* produce(): AsyncGenerator<string> {
    for (; produced < 4000; produced += 1) {
      await waitForTurn();
      yield 'x'.repeat(65_536);
    }
  }
  gateway.answer = async () => buildAnswer(produce());
  const slow = new RawConnection(port);
  slow.socket.pause();
  slow.socket.write(formatChat());
  let seen = -1;
  while (seen !== produced || produced === 0) {
    seen = produced;
    for (let turn = 0; turn < 200; turn += 1) await waitForTurn();
  }
  t.ok(produced < 1000, `production pauses after ${produced} of 4000 chunks`);
  t.match(await sendRaw(port, formatChat().replace('/v1/chat/completions', '/v1/none')), /404/);
  await clock.advance(60_000);
  while (!log.lines.some(({ fields }) => fields.kind === ErrorKind.CancelledAfterDispatch)) {
    await waitForTurn();
  }
  t.pass('a caller that reads nothing for a minute is disconnected');
  slow.socket.destroy();
});

t.test('CallersListener notifies the gateway when the caller disconnects', async (t) => {
  const { port, gateway } = await startFixture(t);
  const aborted = new Promise((resolve) => {
    gateway.answer = async (call) => {
      call.callerGone.addEventListener('abort', resolve);
      return buildAnswer(
        (async function* wait(): AsyncGenerator<string> {
          yield 'first';
          await new Promise(() => {});
        })(),
      );
    };
  });
  const caller = new RawConnection(port);
  caller.socket.write(formatChat());
  await caller.waitFor(/first/);
  caller.socket.destroy();
  t.ok(await aborted);
});

t.test('CallersListener completes in-flight answers when it stops', async (t) => {
  // Guards against truncated answers at a planned stop: the process is told to stop while an
  // answer is being streamed, and closes all connections at once.
  const { port, gateway, listener } = await startFixture(t, {
    headerTimeoutMs: 200,
    requestTimeoutMs: 300,
  });
  let resume = (): void => undefined;
  const resumed = new Promise<void>((resolve) => {
    resume = resolve;
  });
  gateway.answer = async () =>
    buildAnswer(
      (async function* answer(): AsyncGenerator<string> {
        yield 'first';
        await resumed;
        yield 'last';
      })(),
    );
  const [running, idle, unfinished] = [0, 1, 2].map(() => new RawConnection(port));
  running?.socket.write(formatChat({ connection: 'keep-alive' }));
  unfinished?.socket.write('POST /v1/cha');
  await Promise.all([running?.waitFor(/first/), idle?.opened, unfinished?.opened]);
  const stopped = listener.stop();
  await Promise.all([idle?.closed, unfinished?.closed]);
  resume();
  await stopped;
  t.match(await running?.closed, /first[^]*last\r\n0\r\n\r\n$/);
});

t.test('CallersListener closes connections after the next answer while it drains', async (t) => {
  const { port, listener } = await startFixture(t);
  listener.drain();
  const answer = await sendRaw(port, formatChat({ connection: 'keep-alive' }));
  t.match(answer, /^HTTP\/1.1 200[^]*^connection: close\r$/m);
});
