/**
 * Checks that no request runs twice and that refusals are truthful, with several owners on one
 * virtual clock and random sequences of repeated calls, link losses, freezes and kills.
 *
 * @module
 */
import t from 'tap';
import fc from 'fast-check';
import { RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import {
  buildExpectedAnswer,
  CallBehaviour,
  FakeBackend,
} from '../../../test/support/fake_backend.js';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { ACCOUNT, OwnerHost } from '../../../test/support/owner_hosts.js';
import type { OwnerWorld } from '../../../test/support/owner_hosts.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import type { CallerAnswer } from '../views/mod.js';

const HOST_IDS = ['entry-a', 'entry-b', 'entry-c'];
const SETTLE_MS = 70_000;

type LinkChange = 'cut' | 'silence' | 'heal';

/** One step of a random sequence of events. */
type Action =
  | { readonly kind: 'assign'; readonly host: number; readonly work: 'notice' | 'lookup' }
  | { readonly kind: 'submit'; readonly request: number; readonly host: number }
  | {
      readonly kind: 'read';
      readonly request: number;
      readonly host: number;
      readonly part: number;
    }
  | { readonly kind: 'cancel'; readonly request: number; readonly host: number }
  | { readonly kind: LinkChange; readonly pair: number }
  | { readonly kind: 'freeze' | 'thaw' | 'kill'; readonly host: number }
  | { readonly kind: 'fate'; readonly fate: CallBehaviour }
  | { readonly kind: 'advance'; readonly ms: number };

const host = fc.nat(HOST_IDS.length - 1);
const request = fc.nat(7);
const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('assign' as const),
      host,
      work: fc.constantFrom('notice' as const, 'lookup' as const),
    }),
  },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('submit' as const), request, host }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('read' as const), request, host, part: fc.nat(100) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), request, host }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('cut' as const, 'silence' as const, 'heal' as const),
      pair: host,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('freeze' as const, 'thaw' as const, 'kill' as const),
      host,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('fate' as const),
      fate: fc.constantFrom(...Object.values(CallBehaviour)),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.constantFrom(5, 20, 60, 400, 2500, 6000),
    }),
  },
);

const histories = fc.array(action, { minLength: 10, maxLength: 60, size: 'max' });

interface AssignedRequest {
  readonly id: string;
  readonly work: string;
  readonly body: string;
}

/** The result that a caller observed for one call. */
interface CallObservation {
  readonly request: AssignedRequest;
  readonly offset: number;
  text: string | undefined;
  error: SchedulerError | undefined;
}

/** Runs the steps of a random history and records the results that callers observe. */
class History {
  readonly world: OwnerWorld;

  readonly assignedRequests: AssignedRequest[] = [];

  readonly observations: CallObservation[] = [];

  readonly #incarnations = new Map<string, number>();

  constructor() {
    const clock = new VirtualClock();
    this.world = { clock, hub: new FakePeerHub(), backend: new FakeBackend(clock), hosts: [] };
    HOST_IDS.forEach((id) => this.#startHost(id));
  }

  async play(actions: readonly Action[]): Promise<void> {
    for (const step of actions) await this.#applyAction(step);
    this.world.hub.healAll();
    this.world.hosts.forEach((each) => each.gate.thaw());
    await this.world.clock.advance(SETTLE_MS);
  }

  async #applyAction(step: Action): Promise<void> {
    const { world } = this;
    if (step.kind === 'advance') await world.clock.advance(step.ms);
    else if (step.kind === 'fate') world.backend.behaviours.push(step.fate);
    else if (step.kind === 'assign') await this.#assign(step.host, step.work);
    else if (step.kind === 'submit') this.#submit(step.request, step.host);
    else if (step.kind === 'read') this.#read(step.request, step.host, step.part);
    else if (step.kind === 'cancel') this.#cancel(step.request, step.host);
    else if (step.kind === 'freeze') this.#findHost(step.host).gate.freeze();
    else if (step.kind === 'thaw') this.#findHost(step.host).gate.thaw();
    else if (step.kind === 'kill') this.#restart(step.host);
    else if ('pair' in step) this.#changeLink(step.kind, step.pair);
  }

  async #assign(at: number, work: string): Promise<void> {
    const { id } = await this.#findHost(at).gateway.assign(ACCOUNT, undefined);
    this.assignedRequests.push({ id, work, body: `body-${this.assignedRequests.length}` });
  }

  #submit(which: number, at: number): void {
    const given = this.#findRequest(which);
    this.#observeCall(given, 0, () =>
      this.#findHost(at).gateway.submit({
        account: ACCOUNT,
        requestId: given.id,
        serviceId: 'desk',
        workKind: given.work,
        method: 'POST',
        path: '/notices',
        headers: {},
        body: Buffer.from(given.body),
        deadlineMs: undefined,
        traceparent: undefined,
        callerGone: new AbortController().signal,
      }),
    );
  }

  #read(which: number, at: number, part: number): void {
    const given = this.#findRequest(which);
    const offset = Math.floor((buildExpectedAnswer(given.body).length * part) / 100);
    this.#observeCall(given, offset, () =>
      this.#findHost(at).gateway.read(ACCOUNT, given.id, {
        offset,
        backendServer: 'server-1',
        streamId: given.id,
        callerGone: new AbortController().signal,
      }),
    );
  }

  #cancel(which: number, at: number): void {
    const given = this.#findRequest(which);
    const observation: CallObservation = {
      request: given,
      offset: 0,
      text: undefined,
      error: undefined,
    };
    this.#findHost(at)
      .gateway.cancel(ACCOUNT, given.id)
      .then((report) => {
        if (report.run !== RunOutcome.NotRun) return;
        // A report with `not_run` asserts the same as a refusal with it, so it is checked alike.
        observation.error = new SchedulerError('cancelled' as never, { run: report.run });
        this.observations.push(observation);
      })
      .catch(() => undefined);
  }

  #observeCall(given: AssignedRequest, offset: number, call: () => Promise<CallerAnswer>): void {
    const observation: CallObservation = {
      request: given,
      offset,
      text: undefined,
      error: undefined,
    };
    this.observations.push(observation);
    const finish = async (): Promise<void> => {
      const chunks: Uint8Array[] = [];
      const answer = await call();
      for await (const bytes of answer.body) chunks.push(bytes);
      observation.text = Buffer.concat(chunks).toString();
    };
    finish().catch((error: unknown) => {
      if (!(error instanceof SchedulerError)) throw error;
      observation.error = error;
    });
  }

  #findRequest(which: number): AssignedRequest {
    const given = this.assignedRequests[which % this.assignedRequests.length];
    if (!given) throw new Error('no request ID was assigned');
    return given;
  }

  #findHost(index: number): OwnerHost {
    const id = HOST_IDS[index];
    const found = this.world.hosts.findLast((each) => each.identity.id === id);
    if (!found) throw new Error(`no host ${id}`);
    return found;
  }

  #startHost(id: string): void {
    const count = (this.#incarnations.get(id) ?? 0) + 1;
    this.#incarnations.set(id, count);
    const number = HOST_IDS.indexOf(id) * 1000 + count;
    const incarnation = number.toString(16).padStart(16, '0');
    new OwnerHost(buildIdentity(id, incarnation), this.world).start();
  }

  #restart(index: number): void {
    const old = this.#findHost(index);
    old.kill();
    this.#startHost(old.identity.id);
  }

  #changeLink(kind: LinkChange, pair: number): void {
    const a = HOST_IDS[pair] ?? '';
    const b = HOST_IDS[(pair + 1) % HOST_IDS.length] ?? '';
    this.world.hub[kind](a, b);
  }
}

/** Describes each guarantee that a history violated. */
function findViolations(history: History): string[] {
  const { runs } = history.world.backend;
  const broken: string[] = [];
  history.assignedRequests.forEach(({ id, body }) => {
    const count = runs.filter((run) => run.requestId === id).length;
    if (count > 1) broken.push(`${body} ran ${count} times`);
  });
  history.observations.forEach(({ request: given, offset, text, error }) => {
    const hasRun = runs.some((run) => run.requestId === given.id);
    if (error?.run === RunOutcome.NotRun && hasRun) {
      broken.push(`${given.body} was refused as not run (${error.kind}), and ran`);
    }
    if (text !== undefined && text !== buildExpectedAnswer(given.body).slice(offset)) {
      broken.push(`${given.body} got ${text} from ${offset}`);
    }
  });
  return broken;
}

t.test(
  'no history of repeats, kills, freezes and cuts runs a request twice or reports falsely',
  async (t) => {
    let runs = 0;
    await fc.assert(
      fc.asyncProperty(histories, async (actions) => {
        const history = new History();
        await history.play([{ kind: 'assign', host: 0, work: 'notice' }, ...actions]);
        history.world.hosts.forEach((each) => each.kill());
        runs += history.world.backend.runs.length;
        const broken = findViolations(history);
        if (broken.length > 0) throw new Error(broken.join('; '));
      }),
      { seed: 42, numRuns: 400 },
    );
    t.ok(runs > 300, `the histories ran ${runs} requests`);
  },
);
