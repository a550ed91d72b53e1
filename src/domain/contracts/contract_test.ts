import t from 'tap';
import { Tier } from '../scheduling/tier.js';
import { MAX_DOCUMENT_BYTES, MAX_WORK_ENTRIES } from './document_bounds.js';
import type { DocumentFault } from './document_fault.js';
import { parseContract } from './contract.js';

const HASH = 'ab'.repeat(32);

const DOCUMENT = `{
  "account": "firm-a",
  "keys": [{ "sha256": "${HASH.toUpperCase()}" }],
  "weight": 4,
  "limits": { "requestsPerSecond": 20.5, "tokensPerSecond": 20000, "inFlight": 64 },
  "longestDeadlineMs": 60000,
  "work": [
    { "kind": "summary", "service": "llm", "tier": "urgent", "repeatable": true },
    { "kind": "report", "service": "llm", "tier": "standard", "deadlineMs": 60000 }
  ]
}`;

function listFaults(document: Uint8Array | string): readonly DocumentFault[] {
  const result = parseContract(document, { accountId: 'firm-a' });
  return result.valid ? [] : result.faults;
}

t.test('parseContract() returns the whole contract and fills in defaults', async (t) => {
  const result = parseContract(Buffer.from(DOCUMENT), { accountId: 'firm-a' });
  t.strictSame(result, {
    valid: true,
    value: {
      accountId: 'firm-a',
      keyHashes: [HASH],
      weight: 4,
      limits: { requestsPerSecond: 20.5, tokensPerSecond: 20000, inFlight: 64 },
      longestDeadlineMs: 60000,
      work: [
        {
          kind: 'summary',
          serviceId: 'llm',
          tier: Tier.Urgent,
          repeatable: true,
          deadlineMs: 10000,
          expectedOutputTokens: 256,
          methods: [],
          pathPrefixes: [],
        },
        {
          kind: 'report',
          serviceId: 'llm',
          tier: Tier.Standard,
          repeatable: false,
          deadlineMs: 60000,
          expectedOutputTokens: 256,
          methods: [],
          pathPrefixes: [],
        },
      ],
    },
  });
});

t.test('parseContract() reports the line and field of each fault', async (t) => {
  const cases: readonly (readonly [string, string, number, string])[] = [
    ['"account": "firm-a"', '"account": "firm-b"', 2, 'account'],
    ['"account": "firm-a",', '', 1, 'account'],
    ['"weight": 4', '"weight": 0', 4, 'weight'],
    ['"weight": 4', '"weight": 1e999', 4, 'weight'],
    ['"weight": 4', '"wieght": 4', 4, 'wieght'],
    ['"weight": 4', '"weight": 4, "weight": 5', 4, 'weight'],
    ['"weight": 4', '"weight": 4, "__proto__": {}', 4, '__proto__'],
    [HASH.toUpperCase(), 'ab', 3, 'keys[0].sha256'],
    [`[{ "sha256": "${HASH.toUpperCase()}" }]`, '[]', 3, 'keys'],
    ['"inFlight": 64', '"inFlight": 1.5', 5, 'limits.inFlight'],
    ['"tokensPerSecond": 20000', '"tokensPerSecond": -1', 5, 'limits.tokensPerSecond'],
    [', "inFlight": 64', '', 5, 'limits.inFlight'],
    ['"longestDeadlineMs": 60000', '"longestDeadlineMs": 86400001', 6, 'longestDeadlineMs'],
    ['"longestDeadlineMs": 60000', '"longestDeadlineMs": 59999', 9, 'work[1].deadlineMs'],
    ['"tier": "urgent"', '"tier": "Urgent"', 8, 'work[0].tier'],
    ['"repeatable": true', '"repeatable": "yes"', 8, 'work[0].repeatable'],
    ['"repeatable": true', '"methods": ["get"]', 8, 'work[0].methods[0]'],
    ['"repeatable": true', '"pathPrefixes": ["status"]', 8, 'work[0].pathPrefixes[0]'],
    ['"kind": "report"', '"kind": "summary"', 9, 'work[1].kind'],
    ['"kind": "report"', '"kind": "a b"', 9, 'work[1].kind'],
    ['"kind": "report"', `"kind": "${'k'.repeat(65)}"`, 9, 'work[1].kind'],
    ['"kind": "report",', '"kind": "report"', 9, ''],
    ['}\n  ]', '},\n  ]', 10, ''],
  ];
  cases.forEach(([from, to, line, field]) => {
    t.ok(DOCUMENT.includes(from), from);
    const faults = listFaults(DOCUMENT.replace(from, to));
    t.match(faults, [{ line, field }], to);
    t.equal(faults.length, 1, to);
  });
});

t.test('parseContract() reports all faults of a document together', async (t) => {
  const faults = listFaults(
    DOCUMENT.replace('"firm-a"', '7').replace('64', '0').replace('"report"', '"summary"'),
  );
  t.strictSame(
    faults.map(({ field }) => field),
    ['account', 'limits.inFlight', 'work[1].kind'],
  );
});

t.test('parseContract() rejects input that is not a contract', async (t) => {
  const work = '{ "kind": "a", "service": "s", "tier": "batch" },'.repeat(MAX_WORK_ENTRIES);
  const published = [
    '',
    'null',
    '7',
    '[]',
    '{}',
    '{"work":[null],"keys":{},"limits":[]}',
    `"${'x'.repeat(MAX_DOCUMENT_BYTES)}"`,
    '['.repeat(MAX_DOCUMENT_BYTES),
    Uint8Array.of(0xff),
    DOCUMENT.replace('"work": [', `"work": [${work}`),
  ];
  published.forEach((one) => t.not(listFaults(one).length, 0, String(one).slice(0, 40)));
});
