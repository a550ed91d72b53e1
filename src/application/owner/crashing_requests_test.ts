import t from 'tap';
import type { Test } from 'tap';
import { FakeProbe } from '../../../test/support/direct_ends.js';
import { CallBehaviour, FakeBackend } from '../../../test/support/fake_backend.js';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { ACCOUNT, OwnerHost, SERVER_ADDRESS } from '../../../test/support/owner_hosts.js';
import type { OwnerWorld } from '../../../test/support/owner_hosts.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { Reachability } from '../../ports/mod.js';

/** Longer than a call takes, and than the interval within which crashes count as one. */
const STEP_MS = 1_500;

/** Time that a call runs at the backend server. */
const ANSWER_MS = 100;

class OwnerFleet {
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

  /** Sends a call under a new request ID. @returns its error; undefined if it succeeds */
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
      .then(drainBody)
      .catch((error: unknown) => error);
    await this.clock.advance(STEP_MS);
    return outcome;
  }

  /** Sends a call that crashes the server; the server is back before the next call. */
  async callCrashing(index: number, fate: CallBehaviour, workKind: string): Promise<unknown> {
    this.world.backend.behaviours.push(fate);
    this.probe.ended.set(SERVER_ADDRESS, Reachability.Refused);
    const outcome = await this.call(index, 'ends', workKind);
    this.probe.ended.delete(SERVER_ADDRESS);
    return outcome;
  }
}

async function drainBody({ body }: { body: AsyncIterable<Uint8Array> }): Promise<undefined> {
  for await (const bytes of body) if (bytes.length === 0) break;
  return undefined;
}

t.test('a request that crashed its servers three times is run by no owner again', async (t) => {
  // Guards against one request that crashes every backend server: its caller sends it again
  // under a new ID and to another owner each time. Owners that remember only IDs would treat
  // each repeat as a new request.
  for (const workKind of ['notice', 'lookup']) {
    for (const fate of [CallBehaviour.LostAfterBody, CallBehaviour.DiesMidway]) {
      const fleet = new OwnerFleet(t);
      for (const index of [0, 1, 2]) await fleet.callCrashing(index, fate, workKind);
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

t.test('errors and answers without a marked end do not clear a crashing request', async (t) => {
  // Guards against a request that keeps crashing servers because an error answer, or an
  // answer whose end is not marked, counts as proof that the request is harmless.
  for (const fate of [CallBehaviour.ServerError, CallBehaviour.Unframed]) {
    const fleet = new OwnerFleet(t);
    for (const index of [0, 1, 2]) {
      fleet.world.backend.behaviours.push(fate);
      await fleet.call(index, 'ends', 'lookup');
      await fleet.callCrashing(index, CallBehaviour.LostAfterBody, 'lookup');
    }
    const runs = fleet.world.backend.runs.length;
    t.match(await fleet.call(0, 'ends', 'lookup'), { kind: ErrorKind.RequestHeld }, fate);
    t.equal(fleet.world.backend.runs.length, runs);
  }
});

t.test('owners run requests on probation one at a time and answer those that waited', async (t) => {
  // Guards against refusing a harmless request because it ran beside a crashing one each time.
  const fleet = new OwnerFleet(t);
  for (const index of [0, 1, 2]) {
    fleet.probe.ended.set(SERVER_ADDRESS, Reachability.Refused);
    fleet.world.backend.behaviours.push(CallBehaviour.LostAfterBody, CallBehaviour.LostAfterBody);
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

t.test('a request that fails without a server crash is run again for each caller', async (t) => {
  const fleet = new OwnerFleet(t);
  for (const index of [0, 1, 2, 0]) {
    fleet.world.backend.behaviours.push(CallBehaviour.LostAfterBody);
    await fleet.call(index, 'fails', 'lookup');
  }
  t.equal(fleet.world.backend.runs.length, 4);
  t.notOk((await fleet.call(1, 'fails', 'lookup')) instanceof SchedulerError);
});
