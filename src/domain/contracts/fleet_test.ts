import t from 'tap';
import { explainContract } from './explain.js';
import { findHints } from './hints.js';
import { parseContract } from './contract.js';
import { parseFleet } from './fleet.js';

const DOCUMENT = `{
  "services": [
    { "id": "llm", "kind": "model", "models": ["draft"],
      "backendServers": [
        { "id": "e1", "url": "http://10.0.0.1:9001/", "engineKind": "fast", "availabilityZone": "a" },
        { "id": "e2", "url": "http://[::1]:9002", "engineKind": "fast", "availabilityZone": "a" }
      ] },
    { "id": "app", "kind": "plain", "honoursContinue": true,
      "backendServers": [{ "id": "p1", "url": "http://10.0.0.1:80", "availabilityZone": "a" }] }
  ],
  "engineKinds": [
    { "id": "fast", "prefillTokensPerSecond": 8000, "decodeTokensPerSecond": 60, "slots": 16 }
  ]
}`;

t.test('parseFleet() returns the whole fleet and fills in safe defaults', async (t) => {
  const result = parseFleet(DOCUMENT);
  t.match(result, {
    valid: true,
    value: {
      services: [
        {
          honoursContinue: false,
          checksOrders: false,
          dispatchGroupSize: 16,
          backendServers: [
            { id: 'e1', serviceId: 'llm', url: 'http://10.0.0.1:9001', engineKind: 'fast' },
            { id: 'e2', url: 'http://[::1]:9002' },
          ],
        },
        { models: [], backendServers: [{ id: 'p1', engineKind: 'plain' }] },
      ],
      engineKinds: [{ id: 'fast' }, { id: 'plain' }],
    },
  });
});

t.test('parseFleet() reports the line and field of each fault', async (t) => {
  const cases: readonly (readonly [string, string, number, string])[] = [
    ['"id": "app"', '"id": "llm"', 8, 'services[1].id'],
    ['"models": ["draft"]', '"models": []', 3, 'services[0].models'],
    ['"models": ["draft"]', '"models": ["a", "a"]', 3, 'services[0].models[1]'],
    ['"honoursContinue": true', '"models": ["b"]', 8, 'services[1].models'],
    ['"id": "p1"', '"id": "e1"', 9, 'services[1].backendServers[0].id'],
    ['http://10.0.0.1:80"', 'http://10.0.0.1:9001"', 9, 'services[1].backendServers[0].url'],
    ['http://10.0.0.1:80"', 'http://localhost:80"', 9, 'services[1].backendServers[0].url'],
    ['http://10.0.0.1:80"', 'http://10.0.0.1:80/v1"', 9, 'services[1].backendServers[0].url'],
    ['http://10.0.0.1:80"', 'http://10.0.0.1:99999"', 9, 'services[1].backendServers[0].url'],
    ['http://10.0.0.1:80"', 'http://u@10.0.0.1:80"', 9, 'services[1].backendServers[0].url'],
    ['"engineKind": "fast",', '', 5, 'services[0].backendServers[0].engineKind'],
    ['"engineKind": "fast"', '"engineKind": "slow"', 5, 'services[0].backendServers[0].engineKind'],
    ['"slots": 16', '"slots": 0', 12, 'engineKinds[0].slots'],
    ['"kind": "plain"', '"kind": "other"', 8, 'services[1].kind'],
  ];
  cases.forEach(([from, to, line, field]) => {
    t.ok(DOCUMENT.includes(from), from);
    const result = parseFleet(DOCUMENT.replace(from, to));
    t.match(result, { valid: false, faults: [{ line, field }] }, to);
  });
});

t.test(
  'explainContract() lists every value, and findHints() compares with the fleet',
  async (t) => {
    const contract = parseContract(`{"account": "firm-a", "keys": [{"sha256": "${'0'.repeat(64)}"}],
    "limits": {"requestsPerSecond": 21, "tokensPerSecond": 22, "inFlight": 23}, "weight": 24,
    "longestDeadlineMs": 25000, "work": [
      {"kind": "k", "service": "llm", "tier": "batch", "deadlineMs": 26, "expectedOutputTokens": 27,
       "methods": ["PUT"], "pathPrefixes": ["/p"]},
      {"kind": "m", "service": "gone", "tier": "urgent", "repeatable": true}]}`);
    const fleet = parseFleet(DOCUMENT);
    if (!contract.valid || !fleet.valid) throw new Error('the documents are valid');
    const values = explainContract(contract.value).map(({ value }) => value);
    ['21', '22', '23', '24', '25000 ms', '26 ms', '27 tokens', 'batch', 'PUT', '/p'].forEach(
      (value) => t.ok(values.includes(value), value),
    );
    t.match(findHints(contract.value, fleet.value), [/serves models/, /100-continue/, /"gone"/]);
  },
);
