/**
 * Tests calls of which the dispatch fails by a fault of this host.
 *
 * @module
 */
import t from 'tap';
import { startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { ErrorKind, LogLevel, RunOutcome } from '../../domain/errors/mod.js';
import { BackendFailure } from '../../ports/mod.js';

const REASON = 'test fault';

const DEADLINE_MS = 20_000;

const STREAM = { isStream: true, isResumable: true, timeoutMs: DEADLINE_MS, targetGapMs: 1_000 };

/** Has the next call of a method throw. */
function breakOnce<T extends object>(owner: T, name: keyof T): void {
  const method = owner[name] as (...args: unknown[]) => unknown;
  let hasThrown = false;
  const broken = (...args: unknown[]): unknown => {
    if (hasThrown) return method.apply(owner, args);
    hasThrown = true;
    throw new Error(REASON);
  };
  Object.assign(owner, { [name]: broken });
}

/** Has the next line of an event throw. */
function breakLog(host: DirectHost, event: string): void {
  const { log } = host;
  const write = log.write.bind(log);
  let hasThrown = false;
  log.write = (level, name, fields): void => {
    if (name === event && !hasThrown) {
      hasThrown = true;
      throw new Error(REASON);
    }
    write(level, name, fields);
  };
}

/** Places at which the dispatch of the next call fails. */
const FAULTS: Readonly<Record<string, (host: DirectHost) => void>> = {
  'its permit': (host) => breakOnce(host.crashes, 'acquirePermit'),
  'its log line': (host) => breakLog(host, 'call_dispatched'),
  'the version of its server': (host) => breakOnce(host.servers.versions, 'find'),
};

function findFaults(host: DirectHost): unknown[] {
  return host.log.lines.filter(({ event }) => event === 'call_dispatch_failed');
}

for (const [place, applyFault] of Object.entries(FAULTS)) {
  t.test(
    `a waiting call that fails at ${place} is refused, and those behind it go on`,
    async (t) => {
      // Guards against calls that wait for their deadline after an exception at their turn.
      const host = await startDirectHost(t, { route: { targetMs: 2_000 } }, ['s-1']);
      host.call();
      host.call();
      const [failed, behind] = [host.call(), host.call()];
      applyFault(host);
      t.doesNotThrow(() => host.getSent(0).sendResponse());
      t.equal(failed.error?.kind, ErrorKind.DispatchFailed);
      t.equal(failed.error?.run, RunOutcome.NotRun);
      t.match(findFaults(host), [{ level: LogLevel.Error, fields: { reason: REASON } }]);
      t.equal(behind.error, undefined);
      await host.clock.advance(20);
      t.equal(host.backend.sent.length, 3, 'the next call got the slot');
      host.getSent(1).sendResponse();
      host.getSent(2).sendResponse();
      t.equal(behind.body, 'ok');
      t.equal(host.gateway.callCount, 0);
    },
  );

  t.test(`a new call that fails at ${place} is answered once`, async (t) => {
    // Guards against calls that are kept after their refusal, and refused again at their deadline.
    const host = await startDirectHost(t, {}, ['s-1']);
    applyFault(host);
    const failed = host.call();
    t.equal(failed.error?.kind, ErrorKind.DispatchFailed);
    t.equal(host.gateway.callCount, 0);
    t.equal(host.backend.sent.length, 0);
    t.equal(findFaults(host).length, 1);
    host.call();
    t.equal(host.backend.sent.length, 1, 'the slot is not lost');
  });

  t.test(`a call that has run and fails at ${place} is not said to be unrun`, async (t) => {
    // Guards against a second run by a caller that believes the refusal.
    const route = { isRepeatable: true, maxAttempts: 3 };
    const host = await startDirectHost(t, { route });
    const reply = host.call();
    applyFault(host);
    t.doesNotThrow(() => host.getSent(0).fail(BackendFailure.Lost));
    t.equal(reply.error?.run, RunOutcome.MayHaveRun);
    t.equal(host.gateway.callCount, 0);
  });

  t.test(`a silent stream whose next attempt fails at ${place} goes on`, async (t) => {
    // Guards against a stream that is given up for another server that it can't be sent to.
    const host = await startDirectHost(t, { route: STREAM });
    const reply = host.call({ deadlineMs: DEADLINE_MS });
    host.getSent(0).sendHead({ isEventStream: true });
    host.getSent(0).events(1, 1);
    applyFault(host);
    await host.clock.advance(1_500);
    host.getSent(0).events(2, 2);
    host.getSent(0).listener.onComplete();
    t.equal(reply.hasEnded, true);
    t.equal(reply.body, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
  });
}
