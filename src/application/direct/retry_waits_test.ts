/**
 * Tests streams whose next attempt the retry budget refuses at first.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import type { FakeReply } from '../../../test/support/direct_ends.js';
import { SeededRandom } from '../../../test/support/fakes.js';
import { SilentFleet } from '../../../test/support/silent_fleet.js';
import { BackendFailure } from '../../ports/mod.js';

const TEST_TIMEOUT_MS = 200_000;

const DEADLINE_MS = 10_000;

const STREAM = {
  isStream: true,
  isResumable: true,
  timeoutMs: DEADLINE_MS,
  targetMs: 400,
  targetGapMs: 200,
  maxAttempts: 2,
};

const REQUEST = { deadlineMs: DEADLINE_MS };

/** Shortest and longest silence of servers, in milliseconds. */
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 2_000;

/** Share of the silences in which no server speaks. */
const ALL_SILENT_SHARE = 0.6;

const SILENCES = 6;

function draw(random: SeededRandom, min: number, max: number): number {
  return min + random.nextFraction() * (max - min);
}

function drawServers(random: SeededRandom, ids: readonly string[]): readonly string[] {
  if (random.nextFraction() < ALL_SILENT_SHARE) return ids;
  return ids.filter(() => random.nextFraction() < 0.5);
}

/** Plays streams while most servers fall silent together, again and again, and go on. */
async function playStreams(t: Test, hosts: number, seed: number): Promise<SilentFleet> {
  const random = new SeededRandom(seed);
  const fleet = new SilentFleet(t, {
    hosts,
    servers: 12,
    seed,
    route: STREAM,
    runMs: 1_500,
    events: 10,
  });
  await fleet.start();
  for (let count = 0; count < SILENCES; count += 1) {
    const silentMs = draw(random, MIN_SILENCE_MS, MAX_SILENCE_MS);
    fleet.silence(drawServers(random, fleet.serverIds), silentMs);
    const durationMs = draw(random, 1_500, 2_500);
    await fleet.run({ callsPerSecond: 20, durationMs, request: REQUEST });
  }
  await fleet.clock.advance(DEADLINE_MS);
  return fleet;
}

/** Streams that were broken off before their time was over, by what their hosts say about them. */
function listEndedEarly(fleet: SilentFleet): string[] {
  return fleet.hosts.flatMap(({ log }) =>
    log
      .list('call_broken_off')
      .filter(({ totalMs }) => Number(totalMs) < DEADLINE_MS)
      .map(({ requestId, kind, cause }) => [requestId, kind, cause].join(' ')),
  );
}

/** Lets attempts fail until the retry budget grants no more. */
function useUpRetries(host: DirectHost): void {
  while (host.log.list('retry_refused').length === 0) {
    host.call(REQUEST);
    host.backend.sent.at(-1)?.fail();
    host.backend.sent.at(-1)?.sendResponse();
  }
}

/** A stream that has lost its server, and whose next attempt is refused a retry. */
interface LostStream {
  readonly host: DirectHost;
  readonly reply: FakeReply;
}

async function startStream(t: Test): Promise<LostStream> {
  const host = await startDirectHost(t, { route: STREAM }, ['s-1', 's-2', 's-3']);
  const reply = host.call(REQUEST);
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 2);
  return { host, reply };
}

/** Has a silent server be given up for one that declines the stream. */
async function loseStream(t: Test): Promise<LostStream> {
  const stream = await startStream(t);
  const { host } = stream;
  await host.clock.advance(1_450);
  const second = host.getSent(1);
  useUpRetries(host);
  await host.clock.advance(250);
  t.ok(host.getSent(0).isCancelled, 'the silent server was given up');
  second.fail(BackendFailure.Declined);
  return stream;
}

t.test('no stream is broken off in its time because retries are used up', async (t) => {
  // Guards against streams whose silent server was given up for one that declines them, which end
  // at once as the retry budget grants no third server.
  t.setTimeout(TEST_TIMEOUT_MS);
  const seeds = { 6: 2, 13: 3, 20: 1 };
  for (const [hosts, count] of Object.entries(seeds)) {
    for (let seed = 9_200; seed < 9_200 + count; seed += 1) {
      const fleet = await playStreams(t, Number(hosts), seed);
      const name = `${hosts} hosts, seed ${seed}: ${fleet.calls.length} calls`;
      t.strictSame(listEndedEarly(fleet), [], name);
    }
  }
});

t.test('a stream goes on elsewhere once the budget grants its retry', async (t) => {
  // Guards against streams that are ended while their callers still have seconds to wait.
  const { host, reply } = await loseStream(t);
  t.notOk(reply.isAborted);
  const { length } = host.backend.sent;
  await host.clock.advance(4_000);
  t.equal(host.backend.sent.length, length, 'nothing is sent without a retry');
  host.backend.onSend = (exchange) => {
    if (exchange.request.lastEventId === undefined) exchange.sendResponse();
  };
  for (let count = 0; count < 30; count += 1) host.call(REQUEST);
  await host.clock.advance(500);
  const next = host.backend.sent.at(-1);
  t.equal(next?.request.lastEventId, '2');
  next?.sendHead({ isEventStream: true });
  next?.events(3, 4);
  next?.listener.onComplete();
  t.ok(reply.hasEnded);
  t.same(reply.body.match(/^id: \d+$/gm), ['id: 1', 'id: 2', 'id: 3', 'id: 4']);
  t.equal(host.gateway.callCount, 0);
});

t.test('a stream that gets no retry in time ends with its time', async (t) => {
  // Guards against streams that wait for a retry beyond the end of their time.
  const { host, reply } = await loseStream(t);
  await host.clock.advance(DEADLINE_MS);
  t.equal(host.gateway.callCount, 0);
  t.ok(reply.isAborted);
  t.match(host.log.list('call_broken_off'), [
    { cause: 'deadline', attemptCause: 'server_declined' },
  ]);
});

t.test('a stream that waits for a retry ends with its caller and its host', async (t) => {
  // Guards against retries that are granted to calls which have ended.
  const ends = {
    caller: ({ reply }: { reply: FakeReply }) => reply.disconnect(),
    host: ({ host }: { host: DirectHost }) => host.gateway.stopAllCalls(),
  };
  for (const [name, end] of Object.entries(ends)) {
    const waiting = await loseStream(t);
    end(waiting);
    const { host } = waiting;
    const { length } = host.log.list('retry_refused');
    t.equal(host.gateway.callCount, 0, name);
    await host.clock.advance(2_000);
    t.equal(host.log.list('retry_refused').length, length, `${name}: nobody asks`);
  }
});

t.test('a stream whose server has ended is broken off where retries are used up', async (t) => {
  // Guards against callers that wait although they may take the stream up elsewhere at once.
  const { host, reply } = await startStream(t);
  useUpRetries(host);
  host.getSent(0).fail(BackendFailure.Lost);
  t.ok(reply.isAborted);
});

t.test('a call without any event is refused at once where the budget is used up', async (t) => {
  // Guards against callers that are held although they could ask again themselves.
  const host = await startDirectHost(t, { route: STREAM }, ['s-1', 's-2']);
  useUpRetries(host);
  const reply = host.call(REQUEST);
  host.backend.sent.at(-1)?.fail(BackendFailure.Lost);
  t.equal(reply.error?.kind, 'backend_server_lost');
});
