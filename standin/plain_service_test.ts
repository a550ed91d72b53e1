import t from 'tap';
import type { Test } from 'tap';
import { PlainService } from './mod.js';
import type { PlainServiceOptions } from './mod.js';
import {
  openCall,
  readResponse,
  sendCall,
  sendJsonCall,
  setFault,
  waitForHead,
} from './_test_client.js';

const OPTIONS: PlainServiceOptions = {
  id: 'plain-1',
  service: 'case-app',
  honoursContinue: true,
  latencyMs: 0,
  maxRunning: 8,
  loadLagMs: 0,
};

async function startService(t: Test, options: Partial<PlainServiceOptions> = {}): Promise<string> {
  const service = new PlainService({ ...OPTIONS, ...options });
  t.teardown(() => service.close());
  return service.open({ host: '127.0.0.1', port: 0 });
}

t.test('PlainService echoes any method and path', async (t) => {
  const url = await startService(t);
  const answer = await sendJsonCall(`${url}/cases/7?full=1`, { method: 'PUT', body: 'dry' });
  t.match(answer, { method: 'PUT', path: '/cases/7', query: '?full=1', body: 'dry' });
  t.match(await sendJsonCall(`${url}/_standin/runs`), [
    { method: 'PUT', path: '/cases/7?full=1', service: 'case-app', backendServer: 'plain-1' },
  ]);
});

t.test('PlainService without 100-continue runs a body that arrives anyway', async (t) => {
  const url = await startService(t, { honoursContinue: false });
  const call = openCall(`${url}/notices`, {
    method: 'POST',
    headers: { expect: '100-continue', 'request-id': 'r1' },
  });
  call.once('continue', () => t.fail('100 came from a service that does not honour it'));
  call.end('notice');
  t.equal((await readResponse(await waitForHead(call))).status, 200);
  t.match(await sendJsonCall(`${url}/_standin/runs`), [{ requestId: 'r1' }]);
});

t.test('PlainService cuts a response and leaves its run unfinished', async (t) => {
  const url = await startService(t);
  await setFault(url, { kind: 'die-midway', factor: 10 });
  const answer = await sendCall(`${url}/notices`, { method: 'POST', body: 'notice' });
  t.equal(answer.isBroken, true);
  t.equal(answer.body.length, 10);
  t.match(await sendJsonCall(`${url}/_standin/runs`), [{ finished: null }]);
});

t.test('PlainService rejects unknown faults', async (t) => {
  const url = await startService(t);
  const body = JSON.stringify({ kind: 'lazy' });
  const answer = await sendCall(`${url}/_standin/faults`, { method: 'POST', body });
  t.equal(answer.status, 400);
  t.match(answer.body, /none of none, slow, silent, refuse, die-midway, no-continue/);
});
