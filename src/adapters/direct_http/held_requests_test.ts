import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import type { Test } from 'tap';
import type { DirectReply } from '../../ports/mod.js';
import { FakeLog } from '../../../test/support/fakes.js';
import { TestDialect } from './_test_servers.js';
import { DirectListener } from './direct_listener.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n\r\n';

/** Requests that are sent behind one that is not answered; their heads take 4 MB. */
const REQUEST_COUNT = 100_000;

/** Many times what a caller that doesn't wait for its answers has under way. */
const MAX_HELD_REQUESTS = 2_000;

/** Requests behind one that is under way. */
const SENT_AHEAD = 500;

/** Heads after which the listener has begun to read those that were sent ahead. */
const FEW_HEADS = 100;

/** Turns of the event loop without another head after which none is read any more. */
const QUIET_TURNS = 500;

/** A connection of a caller, and what its listener has seen of it. */
interface Caller {
  readonly socket: Socket;
  /** Replies to the requests that were passed on. */
  readonly replies: readonly DirectReply[];
  /** @returns number of requests whose heads were read */
  readonly countHeads: () => number;
}

async function openCaller(t: Test): Promise<Caller> {
  let headCount = 0;
  const dialect = new TestDialect();
  const readCall = dialect.readCall.bind(dialect);
  dialect.readCall = (headers) => {
    headCount += 1;
    return readCall(headers);
  };
  const replies: DirectReply[] = [];
  const listener = new DirectListener({
    dialect,
    getLimits: () => ({
      maxHeaderBytes: 10_000,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 60_000,
      idleTimeoutMs: 60_000,
    }),
    mustClose: () => false,
    handle: (_request, reply) => replies.push(reply),
    log: new FakeLog(),
    onCallerTooSlow: () => undefined,
  });
  const socket = connect({ port: await listener.start('127.0.0.1', 0), host: '127.0.0.1' });
  socket.on('error', () => undefined);
  t.teardown(() => {
    socket.destroy();
    listener.stop();
  });
  await once(socket, 'connect');
  return { socket, replies, countHeads: () => headCount };
}

t.test('one connection does not bring requests without end behind an open one', async (t) => {
  // Guards against a caller whose waiting requests take the memory of the process, which ends.
  const { socket, countHeads } = await openCaller(t);
  socket.write(REQUEST.repeat(REQUEST_COUNT));
  let quietTurns = 0;
  while (quietTurns < QUIET_TURNS && countHeads() <= MAX_HELD_REQUESTS) {
    const before = countHeads();
    await setImmediate();
    quietTurns = countHeads() === before && before > 0 ? quietTurns + 1 : 0;
  }
  t.ok(countHeads() <= MAX_HELD_REQUESTS, `${countHeads()} requests were read`);
});

t.test('requests that are sent ahead leave the open one its answer', async (t) => {
  // Guards against a request that a server runs, and whose connection is closed for those behind it.
  const { socket, replies, countHeads } = await openCaller(t);
  const received: string[] = [];
  socket.on('data', (bytes: Buffer) => received.push(bytes.toString('latin1')));
  socket.write(REQUEST);
  while (replies.length === 0) await setImmediate();
  socket.write(REQUEST.repeat(SENT_AHEAD));
  while (countHeads() < FEW_HEADS && !socket.destroyed) await setImmediate();
  for (let turns = 0; turns < QUIET_TURNS; turns += 1) await setImmediate();
  const head = { status: 200, headers: [], isFramed: true };
  replies[0]?.sendAnswer(head, Buffer.from('one'));
  while (!received.join('').includes('one') && !socket.destroyed) await setImmediate();
  t.match(received.join(''), /one/);
});
