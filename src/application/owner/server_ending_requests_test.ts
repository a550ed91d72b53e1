import t from 'tap';
import type { Test } from 'tap';
import { FakeProbe } from '../../../test/support/direct_ends.js';
import { CallFate, FakeBackend } from '../../../test/support/fake_backend.js';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { ACCOUNT, OwnerHost, SERVER_ADDRESS } from '../../../test/support/owner_hosts.js';
import type { OwnerWorld } from '../../../test/support/owner_hosts.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { Reachability } from '../../ports/mod.js';

/** Longer than a call takes, and than ends that count as one. */
const STEP_MS = 1_500;

/** Time that a call runs. */
const ANSWER_MS = 100;

class Fleet {
  readonly clock = new VirtualClock();

  readonly probe = new FakeProbe();

  readonly world: OwnerWorld;

  constructor(t: Test) {
    const { clock, probe } = this;
    const hub = new FakePeerHub();
    this.world = { clock, probe, hub, backend: new FakeBackend(clock), hosts: [] };
    ['1', '2', '3'].forEach((digit) => {
      const identity = buildIdentity(`h-${digit}`, digit.repeat(16));
      const host = new OwnerHost(identity, this.world);
      host.start();
      t.teardown(() => host.kill());
    });
  }

  /** Sends a call under an ID of its own. @returns its failure, if it fails */
  async call(index: number, body: string, workKind: string, deadlineMs = 1_000): Promise<unknown> {
    const { gateway } = this.world.hosts[index] as OwnerHost;
    const { id } = await gateway.assign(ACCOUNT, undefined);
    const outcome = gateway
      .submit({
        account: ACCOUNT,
        requestId: id,
        serviceId: 'desk',
        workKind,
        method: 'POST',
        path: '/v1/notices',
        headers: {},
        body: Buffer.from(body),
        deadlineMs,
        traceparent: undefined,
        callerGone: new AbortController().signal,
      })
      .then(readWhole)
      .catch((error: unknown) => error);
    await this.clock.advance(STEP_MS);
    return outcome;
  }

  /** The next call ends the server, which is back before the one after it. */
  async callEnding(index: number, fate: CallFate, workKind: string): Promise<unknown> {
    this.world.backend.fates.push(fate);
    this.probe.ended.set(SERVER_ADDRESS, Reachability.Refused);
    const outcome = await this.call(index, 'ends', workKind);
    this.probe.ended.delete(SERVER_ADDRESS);
    return outcome;
  }
}

async function readWhole({ body }: { body: AsyncIterable<Uint8Array> }): Promise<undefined> {
  for await (const bytes of body) if (bytes.length === 0) break;
  return undefined;
}

t.test('what has ended its servers three times is run by no owner any more', async (t) => {
  // Symptom: one request ends every backend server, however many owners refuse to repeat it.
  // Sequence: its caller sends it again, under a new ID and to another owner each time.
  // Cause: owners remember IDs, so that each repeat was a request of its own.
  for (const workKind of ['notice', 'lookup']) {
    for (const fate of [CallFate.LostAfter, CallFate.DiesMidway]) {
      const fleet = new Fleet(t);
      for (const index of [0, 1, 2]) await fleet.callEnding(index, fate, workKind);
      t.equal(fleet.world.backend.runs.length, 3);
      for (const index of [0, 1, 2]) {
        const error = await fleet.call(index, 'ends', workKind);
        t.match(error, { kind: ErrorKind.RequestHeld, run: RunOutcome.NotRun });
      }
      t.equal(fleet.world.backend.runs.length, 3, `${workKind} ${fate}`);
      t.notOk((await fleet.call(0, 'other', workKind)) instanceof SchedulerError);
    }
  }
});

t.test('at an owner, errors and answers whose end is not marked clear nothing', async (t) => {
  // Guards against a request that goes on ending servers since some answer it all the same.
  for (const fate of [CallFate.Erred, CallFate.Unframed]) {
    const fleet = new Fleet(t);
    for (const index of [0, 1, 2]) {
      fleet.world.backend.fates.push(fate);
      await fleet.call(index, 'ends', 'lookup');
      await fleet.callEnding(index, CallFate.LostAfter, 'lookup');
    }
    const runs = fleet.world.backend.runs.length;
    t.match(await fleet.call(0, 'ends', 'lookup'), { kind: ErrorKind.RequestHeld }, fate);
    t.equal(fleet.world.backend.runs.length, runs);
  }
});

t.test('owners try what is in doubt one at a time, and answer those that waited', async (t) => {
  // Guards against an outage of whoever asked for what ran beside such a request each time.
  const fleet = new Fleet(t);
  for (const index of [0, 1, 2]) {
    fleet.probe.ended.set(SERVER_ADDRESS, Reachability.Refused);
    fleet.world.backend.fates.push(CallFate.LostAfter, CallFate.LostAfter);
    await Promise.all(['ends', 'sound'].map((body) => fleet.call(index, body, 'lookup')));
    fleet.probe.ended.delete(SERVER_ADDRESS);
  }
  const { runs } = fleet.world.backend;
  const before = runs.length;
  const calls = [0, 1, 2].map((index) => fleet.call(index, 'sound', 'lookup', 5_000));
  t.same(await Promise.all(calls), [undefined, undefined, undefined]);
  const [first, ...others] = runs.slice(before).map(({ startedAtMs }) => startedAtMs);
  t.equal(others.length, 2);
  t.ok(others.every((startedAtMs) => startedAtMs >= (first as number) + ANSWER_MS));
});

t.test('what fails at a server that lives on is run again for each caller', async (t) => {
  const fleet = new Fleet(t);
  for (const index of [0, 1, 2, 0]) {
    fleet.world.backend.fates.push(CallFate.LostAfter);
    await fleet.call(index, 'fails', 'lookup');
  }
  t.equal(fleet.world.backend.runs.length, 4);
  t.notOk((await fleet.call(1, 'fails', 'lookup')) instanceof SchedulerError);
});
