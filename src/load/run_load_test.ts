import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import type { Test } from 'tap';
import { buildLoadReport, OutcomeKind, parseLoadPlan, runLoad } from './mod.js';
import type { LoadPlan, LoadPlanDocument, LoadRun, RequestOutcome } from './mod.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const SSE = { 'content-type': 'text/event-stream', 'stream-id': 's1', 'backend-server': 'e1' };
const WHOLE = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n';

function buildPlan(count: number, work: Partial<LoadPlanDocument['work'][number]> = {}): LoadPlan {
  return parseLoadPlan({
    phases: [{ name: 'p', seconds: 0.2, requestsPerSecond: count * 5 }],
    accounts: [{ id: 'a', apiKey: 'k' }],
    callersPerAccount: 1,
    work: [
      {
        name: 'w',
        share: 1,
        tier: 'urgent',
        service: 's',
        model: 'm',
        deadlineMs: 20_000,
        ...work,
      },
    ],
  });
}

/** Starts an HTTP server that acts as an entry host. */
async function startHost(handle: Handler): Promise<{ server: Server; url: string }> {
  const server = createServer((request, response) => {
    request.resume().on('end', () => handle(request, response));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

let lastId = 0;

function sendAssignment(response: ServerResponse, urls: readonly string[]): void {
  lastId += 1;
  const entryHosts = urls.slice(1).map((url) => ({ id: url, url }));
  const entryHost = { id: urls[0], url: urls[0] };
  response.end(JSON.stringify({ id: `id-${lastId}`, entryHost, entryHosts, keepMs: 60_000 }));
}

async function runAgainst(t: Test, plan: LoadPlan, handlers: readonly Handler[]): Promise<LoadRun> {
  const hosts = await Promise.all(handlers.map((handle) => startHost(handle)));
  t.teardown(() => hosts.forEach(({ server }) => server.close()));
  hosts.forEach(({ server }) => t.teardown(() => server.closeAllConnections()));
  return runLoad(plan, { urls: hosts.map(({ url }) => url), seed: 1 });
}

function listKinds(outcomes: readonly RequestOutcome[]): string[] {
  return [...new Set(outcomes.map((outcome) => outcome.kind))];
}

t.test('runLoad() sends requests on schedule while none is answered', async (t) => {
  // Guards against a closed loop, which waits for answers, so that a slow system reduces its own
  // load and an overload goes unnoticed. Here no call is answered before half of the expected
  // calls have arrived.
  const plan = buildPlan(20, { withId: false });
  const held: ServerResponse[] = [];
  const expected = 20;
  const run = await runAgainst(t, plan, [
    (_request, response) => {
      held.push(response);
      if (held.length >= expected / 2) {
        held.forEach((each) => each.headersSent || each.writeHead(200, SSE).end(WHOLE));
      }
    },
  ]);
  t.same(listKinds(run.outcomes), [OutcomeKind.Answered]);
  t.ok(run.outcomes.length >= expected / 2);
});

t.test('runLoad() resumes a cut answer through another entry host', async (t) => {
  // Guards against truncated answers. The entry host dies after 30 bytes; the other one has the
  // rest of the answer.
  const plan = buildPlan(3);
  const offsets: string[] = [];
  const hosts: string[] = [];
  const cut: Handler = (request, response) => {
    hosts[0] = `http://${request.headers.host}`;
    if (request.url === '/v1/requests') sendAssignment(response, hosts);
    else {
      response.writeHead(200, SSE).write(WHOLE.slice(0, 30), () => response.destroy());
    }
  };
  const second: Handler = (request, response) => {
    offsets.push(request.url ?? '');
    response.writeHead(200, SSE).end(WHOLE.slice(30));
  };
  const run = await runAgainst(t, plan, [cut, second]);
  t.same(listKinds(run.outcomes), [OutcomeKind.Answered]);
  t.ok(run.outcomes.every((outcome) => outcome.resumptions === 1 && outcome.outputTokens === 1));
  t.match(offsets[0], /\/v1\/requests\/id-\d+\?offset=30&backendServer=e1&streamId=s1/);
});

t.test(
  'runLoad() distinguishes refusals, error events, truncated answers and answers of others',
  async (t) => {
    const refusal = JSON.stringify({ error: { code: 'queue_full', run: 'not_run' } });
    const failed = 'data: {"error":{"code":"answer_cut","run":"ran"}}\n\n';
    const cases: readonly [string, Handler, Partial<RequestOutcome>][] = [
      [
        'refusal',
        (_request, response) => response.writeHead(503).end(refusal),
        { kind: OutcomeKind.Refused, code: 'queue_full', run: 'not_run', status: 503 },
      ],
      [
        'error event',
        (_request, response) => response.writeHead(200, SSE).end(failed),
        { kind: OutcomeKind.Refused, code: 'answer_cut', run: 'ran' },
      ],
      [
        'ends cleanly without [DONE]',
        (_request, response) => response.writeHead(200, SSE).end(WHOLE.slice(0, 48)),
        { kind: OutcomeKind.Lost },
      ],
      [
        'somebody else’s answer',
        (_request, response) => response.writeHead(200, SSE).end(WHOLE),
        { kind: OutcomeKind.Wrong },
      ],
    ];
    for (const [name, handle, expected] of cases) {
      const plan = {
        ...buildPlan(2, { withId: false }),
        checksAnswers: name.startsWith('somebody'),
      };
      const run = await runAgainst(t, plan, [handle]);
      t.ok(run.outcomes.length > 0);
      run.outcomes.forEach((outcome) => t.match(outcome, expected, name));
    }
  },
);

t.test('runLoad() does not count the assignment as the first byte of the answer', async (t) => {
  const hosts: string[] = [];
  const run = await runAgainst(t, buildPlan(2), [
    (request, response) => {
      hosts[0] = `http://${request.headers.host}`;
      if (request.url === '/v1/requests') sendAssignment(response, hosts);
      else response.writeHead(503).end('{"error":{"code":"queue_full","run":"not_run"}}');
    },
  ]);
  t.same(listKinds(run.outcomes), [OutcomeKind.Refused]);
  t.ok(run.outcomes.every((outcome) => outcome.firstByteMs === undefined));
});

t.test('buildLoadReport() summarizes outcomes by tier', async (t) => {
  const run = await runAgainst(t, buildPlan(5, { withId: false }), [
    (_request, response) => response.writeHead(200, SSE).end(WHOLE),
  ]);
  const report = buildLoadReport(run, { name: 'case', records: [] });
  const [urgent, standard] = report.tiers;
  t.equal(urgent?.offered, run.outcomes.length);
  t.equal(urgent?.inDeadline, run.outcomes.length);
  t.equal(urgent?.firstByteMs.count, run.outcomes.length);
  t.equal(standard?.offered, 0);
  t.match(report.comparison, { lost: 0, doubles: [], falseNotRun: [] });
});
