/**
 * Tests calls of several attempts, whose servers do anything at any time.
 *
 * @module
 */
import fc from 'fast-check';
import t from 'tap';
import type { Test } from 'tap';
import { buildServer, startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import type { FakeExchange, FakeReply } from '../../../test/support/direct_ends.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { formatIncarnationId } from '../../domain/backend_servers/mod.js';
import { RunOutcome } from '../../domain/errors/mod.js';
import { BackendFailure } from '../../ports/mod.js';

const TIMEOUT_MS = 6_000;

/** Interval at which it is looked what is in flight, in milliseconds. */
const STEP_MS = 25;

t.setTimeout(600_000);

/** Longest time for which a call may have no attempt, while servers are idle, in milliseconds. */
const MAX_IDLE_MS = 500;

/** Longest time for which two servers may work on one stream, in milliseconds. */
const MAX_OVERLAP_MS = 300;

const SERVERS = ['s-1', 's-2', 's-3', 's-4', 's-5', 's-6'];

const BASE = { timeoutMs: TIMEOUT_MS, targetMs: 200, targetGapMs: 100, maxAttempts: 3 };

const ROUTES = {
  stream: { ...BASE, isStream: true, isResumable: true },
  read: { ...BASE, isRepeatable: true },
  write: { ...BASE },
};

type RouteKind = keyof typeof ROUTES;

const NOT_RUN = [BackendFailure.NotSent, BackendFailure.Declined, BackendFailure.Misdirected];

/** What has become of one attempt. */
interface Attempt {
  readonly exchange: FakeExchange;
  readonly startedAtMs: number;
  readonly firstId: number;
  nextId: number;
  hasHead: boolean;
  hasEnded: boolean;
  hasRun: boolean;
}

/** One call, whose attempts a test plays. */
class Play {
  readonly attempts: Attempt[] = [];

  readonly reply: FakeReply;

  #idleSinceMs: number | undefined;

  longestIdleMs = 0;

  longestOverlapMs = 0;

  #bothSinceMs: number | undefined;

  constructor(
    readonly host: DirectHost,
    readonly kind: RouteKind,
    isOpenAtOnce: () => boolean,
  ) {
    const onSend = (exchange: FakeExchange): void => {
      Object.assign(exchange, { mayHaveBeenSent: isOpenAtOnce() });
      const firstId = Number(exchange.request.lastEventId ?? 0) + 1;
      this.attempts.push({
        exchange,
        firstId,
        nextId: firstId,
        startedAtMs: host.clock.nowMs(),
        hasHead: false,
        hasEnded: false,
        hasRun: exchange.mayHaveBeenSent,
      });
    };
    Object.assign(host.backend, { onSend });
    this.reply = host.call({ deadlineMs: TIMEOUT_MS });
  }

  get isOver(): boolean {
    const { reply } = this;
    return reply.hasEnded || reply.isAborted || reply.isDisconnected || reply.error !== undefined;
  }

  listLive(): Attempt[] {
    return this.attempts.filter(({ exchange, hasEnded }) => !hasEnded && !exchange.isCancelled);
  }

  async advance(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await this.host.clock.advance(Math.min(STEP_MS, left));
      this.#measure();
    }
  }

  #measure(): void {
    const nowMs = this.host.clock.nowMs();
    const live = this.listLive().filter(({ exchange }) => exchange.mayHaveBeenSent);
    if (this.isOver || this.listLive().length > 0) this.#idleSinceMs = undefined;
    else this.#idleSinceMs ??= nowMs;
    if (live.length < 2) this.#bothSinceMs = undefined;
    else this.#bothSinceMs ??= nowMs;
    this.longestIdleMs = Math.max(this.longestIdleMs, nowMs - (this.#idleSinceMs ?? nowMs));
    this.longestOverlapMs = Math.max(this.longestOverlapMs, nowMs - (this.#bothSinceMs ?? nowMs));
  }

  async act(action: string, index: number): Promise<void> {
    if (action === 'leave') this.reply.disconnect();
    const live = this.listLive();
    const attempt = live[index % Math.max(1, live.length)];
    if (!attempt || this.isOver) return;
    const { exchange } = attempt;
    if (action === 'refuse' && !exchange.mayHaveBeenSent) {
      this.#end(attempt, BackendFailure.NotSent);
      return;
    }
    if (!exchange.mayHaveBeenSent) {
      Object.assign(exchange, { mayHaveBeenSent: true });
      Object.assign(attempt, { hasRun: true });
      if (action !== 'go on') return;
    }
    if (action === 'go on') this.#goOn(attempt);
    if (action === 'part') this.#sendPart(attempt);
    if (action === 'complete') this.#complete(attempt);
    if (action === 'decline' && !attempt.hasHead) this.#end(attempt, BackendFailure.Declined);
    if (action === 'misdirect' && !attempt.hasHead) this.#end(attempt, BackendFailure.Misdirected);
    if (action === 'lose') this.#end(attempt, BackendFailure.Lost);
    if (action === 'error' && !attempt.hasHead) {
      Object.assign(attempt, { hasEnded: true });
      exchange.sendResponse([500, 503, 429][index % 3], 'error');
    }
    if (action === 'restart') await this.#restart(exchange);
  }

  #end(attempt: Attempt, failure: BackendFailure): void {
    Object.assign(attempt, { hasEnded: true });
    if (NOT_RUN.includes(failure)) Object.assign(attempt, { hasRun: false });
    attempt.exchange.fail(failure);
  }

  #sendHead(attempt: Attempt): void {
    if (!attempt.hasHead) attempt.exchange.sendHead({ isEventStream: this.kind === 'stream' });
    Object.assign(attempt, { hasHead: true });
  }

  #goOn(attempt: Attempt): void {
    this.#sendHead(attempt);
    if (this.kind !== 'stream' || attempt.exchange.isCancelled) return;
    attempt.exchange.events(attempt.nextId, attempt.nextId);
    Object.assign(attempt, { nextId: attempt.nextId + 1 });
  }

  /** The first half of an event; the rest never comes. */
  #sendPart(attempt: Attempt): void {
    if (this.kind !== 'stream') return;
    this.#sendHead(attempt);
    attempt.exchange.listener.onBody(Buffer.from(`id: ${attempt.nextId}\nda`));
    this.#end(attempt, BackendFailure.Lost);
  }

  #complete(attempt: Attempt): void {
    const { exchange } = attempt;
    if (this.kind === 'stream') this.#goOn(attempt);
    else {
      this.#sendHead(attempt);
      exchange.listener.onBody(Buffer.from(`answer of ${exchange.request.incarnationId}`));
    }
    Object.assign(attempt, { hasEnded: true });
    exchange.listener.onComplete();
  }

  async #restart({ request: { serverId } }: FakeExchange): Promise<void> {
    const bornAtMs = this.host.clock.nowMs();
    const entry = buildServer(formatIncarnationId(serverId, bornAtMs), { serverId, bornAtMs });
    this.host.feed.put(`servers/${serverId}`, entry);
    await settle();
  }

  /** @returns what is wrong; empty if nothing is */
  judge(): string {
    const { reply, kind, attempts, host } = this;
    const runs = attempts.filter(({ hasRun }) => hasRun).length;
    if (!this.isOver) return 'the call has not ended';
    if (host.gateway.callCount > 0) return 'a call is left';
    if (this.listLive().length > 0) return 'an attempt is left';
    if (runs > (kind === 'write' ? 1 : BASE.maxAttempts)) return `${runs} runs`;
    if (reply.error?.run === RunOutcome.NotRun && runs > 0) return 'it may have run';
    if (this.longestIdleMs > MAX_IDLE_MS) return `idle for ${this.longestIdleMs} ms`;
    if (kind === 'stream' && this.longestOverlapMs > MAX_OVERLAP_MS)
      return `two servers for ${this.longestOverlapMs} ms`;
    if (reply.head?.status !== 200) return '';
    return kind === 'stream' ? this.#judgeStream() : this.#judgePlain();
  }

  #judgeStream(): string {
    const ids = [...this.reply.body.matchAll(/^id: (\d+)\ndata: (\d+)\n\n/gm)].map(([, id]) => id);
    const isInOrder = ids.every((id, at) => Number(id) === at + 1);
    const text = ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');
    return isInOrder && text === this.reply.body ? '' : `mixed: ${JSON.stringify(this.reply.body)}`;
  }

  #judgePlain(): string {
    const bodies = this.attempts.map(
      ({ exchange }) => `answer of ${exchange.request.incarnationId}`,
    );
    return bodies.includes(this.reply.body) ? '' : `mixed: ${this.reply.body}`;
  }
}

const ACTIONS = [
  'wait',
  'wait',
  'wait',
  'go on',
  'go on',
  'complete',
  'part',
  'refuse',
  'decline',
  'decline',
  'misdirect',
  'lose',
  'error',
  'restart',
  'leave',
];

const stepsArbitrary = fc.array(
  fc.record({
    action: fc.constantFrom(...ACTIONS),
    index: fc.nat({ max: 5 }),
    ms: fc.oneof(fc.integer({ min: 1, max: 250 }), fc.integer({ min: 600, max: 1_600 })),
  }),
  { minLength: 3, maxLength: 14 },
);

for (const kind of Object.keys(ROUTES) as RouteKind[]) {
  t.test(`a ${kind} whose servers do anything ends once, in time, and is not mixed`, async (t) => {
    // Guards against calls without an attempt, mixed answers, second runs and untrue refusals.
    t.setTimeout(200_000);
    const run = fc.assert(
      fc.asyncProperty(stepsArbitrary, fc.infiniteStream(fc.boolean()), async (steps, opens) => {
        const wrong = await runPlay(t, kind, steps, opens);
        if (wrong !== '') throw new Error(wrong);
      }),
      { seed: 16, numRuns: 50 },
    );
    await t.resolves(run);
  });
}

interface Step {
  readonly action: string;
  readonly index: number;
  readonly ms: number;
}

async function runPlay(
  t: Test,
  kind: RouteKind,
  steps: readonly Step[],
  opens: Iterator<boolean>,
): Promise<string> {
  const host = await startDirectHost(t, { route: ROUTES[kind] }, SERVERS);
  const play = new Play(host, kind, () => opens.next().value !== false);
  for (const { action, index, ms } of steps) {
    await play.advance(ms);
    await play.act(action, index);
  }
  await play.advance(TIMEOUT_MS + 100);
  const wrong = play.judge();
  host.stop();
  return wrong;
}
