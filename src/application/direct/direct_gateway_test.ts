import t from 'tap';
import {
  DirectHost,
  MAX_KEY_AGE_MS,
  buildDocument,
  buildServer,
  startDirectHost,
} from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { LimitUnit } from '../../domain/routing/mod.js';
import { BackendFailure } from '../../ports/mod.js';

t.test('a call is sent with its remaining time and answered', async (t) => {
  const host = await startDirectHost(t);
  const reply = host.call();
  t.match(host.getSent(0).request, { accountId: 'firm-a', deadlineMs: 2_000 });
  host.getSent(0).sendResponse();
  t.match(reply, { body: 'ok', hasEnded: true });
  t.equal(host.gateway.callCount, 0);
});

t.test('calls are refused as not run before the first configuration arrives', async (t) => {
  const host = new DirectHost();
  const reply = host.call();
  t.equal(reply.error?.kind, ErrorKind.ConfigurationMissing);
  t.equal(reply.error?.run, RunOutcome.NotRun);
});

t.test('an unknown key is refused permanently only with a current configuration', async (t) => {
  // Guards against refusing new keys permanently. A key may be added while this entry host can't
  // reach the store; its absence from an old configuration does not show that it is invalid.
  const host = await startDirectHost(t);
  t.equal(host.call({ key: 'other' }).error?.kind, ErrorKind.Unauthenticated);
  t.equal(host.call({ path: '/none/' }).error?.kind, ErrorKind.NotFound);
  host.feed.isDown = true;
  await host.clock.advance(3_500);
  t.equal(host.call({ key: 'other' }).error?.kind, ErrorKind.EntryHostCutOff);
  t.equal(host.call({ path: '/none/' }).error?.kind, ErrorKind.EntryHostCutOff);
  t.equal(host.call().error, undefined);
});

t.test('keys are rejected once the configuration is unconfirmed for too long', async (t) => {
  // Guards against accepting a revoked key for as long as an outage lasts. A key may be revoked
  // while this entry host can't reach the store; the last known configuration may be outdated.
  const host = await startDirectHost(t);
  host.feed.isSilent = true;
  await host.clock.advance(MAX_KEY_AGE_MS + 1_000);
  t.equal(host.call().error?.kind, ErrorKind.EntryHostCutOff);
  t.equal(host.gateway.isServing, false);
});

t.test('a call whose key is revoked while it waits is refused unsent', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.call();
  host.call();
  const waiting = host.call();
  host.feed.put('configuration', buildDocument(2, { keys: [] }));
  await settle();
  host.getSent(0).sendResponse();
  t.equal(waiting.error?.kind, ErrorKind.Unauthenticated);
  t.equal(host.backend.sent.length, 2);
});

t.test('a suspension of the process is detected before a waiting call is sent', async (t) => {
  // Guards against running a request with a revoked key after the machine was suspended: the
  // call waits for a slot, the machine is suspended, and the slot becomes free. A check of the
  // key made before the suspension is no longer valid then.
  const host = await startDirectHost(t, { route: { timeoutMs: 60_000 } }, ['s-1']);
  host.call();
  host.call();
  const waiting = host.call({ deadlineMs: 60_000 });
  host.clock.jump(MAX_KEY_AGE_MS + 2_000);
  host.getSent(0).sendResponse();
  t.equal(waiting.error?.kind, ErrorKind.EntryHostCutOff);
  t.equal(host.backend.sent.length, 2);
});

t.test('each refusal for the age of the configuration tells that age', async (t) => {
  // Guards against refusals of calls that waited or failed over, which look like lost servers.
  const host = await startDirectHost(t, { route: { timeoutMs: 60_000 } }, ['s-1']);
  host.call();
  host.call();
  host.call({ deadlineMs: 60_000 });
  host.clock.jump(MAX_KEY_AGE_MS + 2_000);
  host.getSent(0).sendResponse();
  host.call();
  const refusals = host.log.list('call_refused').map(({ kind, configurationAgeMs }) => ({
    kind,
    configurationAgeMs,
  }));
  const refusal = { kind: ErrorKind.EntryHostCutOff, configurationAgeMs: MAX_KEY_AGE_MS + 2_000 };
  t.strictSame(refusals, [refusal, refusal]);
});

t.test('a call over the rate limit is refused; one that never ran is not counted', async (t) => {
  const limit = { unit: LimitUnit.Tokens, ratePerSecond: 100, burst: 1_000, unitsOfUnsized: 50 };
  const host = await startDirectHost(t, { limit });
  const work = { promptTokens: 150, outputTokens: 10 };
  const first = host.call({ work });
  host.getSent(0).fail(BackendFailure.NotSent);
  host.getSent(1).fail(BackendFailure.NotSent);
  await host.clock.advance(1_500);
  t.equal(first.error?.run, RunOutcome.NotRun);
  t.equal(host.call({ work }).error, undefined);
  t.equal(host.call({ work }).error, undefined);
  t.equal(host.call({ work }).error?.kind, ErrorKind.TokensLimited);
});

t.test('an address at which another incarnation answers is not used again', async (t) => {
  const host = await startDirectHost(t);
  host.call();
  const gone = host.getSent(0).request.serverId;
  host.getSent(0).fail(BackendFailure.Misdirected);
  host.call();
  t.notOk(host.servers.isUsable(gone));
  t.not(host.getSent(2).request.serverId, gone);
});

t.test('a draining server gets no new work', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.feed.put('servers/s-1', buildServer('s-1', { isLeaving: true }));
  await settle();
  const reply = host.call();
  await host.clock.advance(1_000);
  t.equal(host.backend.sent.length, 0);
  t.equal(reply.error?.run, RunOutcome.NotRun);
});

t.test('new calls are refused as not run once the gateway refuses new calls', async (t) => {
  const host = await startDirectHost(t);
  const running = host.call();
  host.gateway.refuseNewCalls();
  t.equal(host.call().error?.kind, ErrorKind.EntryHostStopping);
  host.getSent(0).sendResponse();
  t.equal(running.body, 'ok');
});

t.test('each decision on a call is logged with its request ID', async (t) => {
  const host = await startDirectHost(t);
  host.call();
  host.getSent(0).sendResponse();
  host.call({ key: 'other' });
  const events = host.log.lines
    .filter(({ fields }) => fields.requestId !== undefined)
    .map(({ event, fields }) => `${event} ${fields.requestId}`);
  t.same(events, ['call_dispatched r-1', 'call_answered r-1', 'call_refused r-2']);
  const dispatched = host.log.lines.find(({ event }) => event === 'call_dispatched');
  t.match(dispatched?.fields, { configurationVersion: 1, configurationAgeMs: 0, inFlight: 0 });
});
