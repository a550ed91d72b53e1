import t from 'tap';
import type { LoadReport, TierSummary } from '../mod.js';
import { formatHtml, formatTable, formatText } from './mod.js';

const LATENCY = { count: 2, p50: 1, p95: 2, p99: 2, max: 2 };

const URGENT: TierSummary = {
  tier: 'urgent',
  offered: 4,
  inDeadline: 3,
  late: 0,
  refused: 1,
  refusedByCode: { queue_full: 1 },
  wrong: 0,
  lost: 0,
  lostByCode: {},
  resumptions: 0,
  promptTokens: 10,
  outputTokens: 5,
  goodOutputTokens: 5,
  firstByteMs: LATENCY,
  totalMs: LATENCY,
  timeline: [{ second: 0, offered: 4, inDeadline: 3 }],
};

const REPORT: LoadReport = {
  name: '<burst> & "co"',
  seed: 1,
  elapsedMs: 1000,
  worstLagMs: 1,
  offered: 4,
  tiers: [URGENT],
};

t.test('formatHtml() returns one page with plots and without scripts or links', async (t) => {
  const page = formatHtml([REPORT], { title: 'Load' });
  t.equal(page.match(/<svg/g)?.length, 2, 'bars and one plot over time');
  t.notMatch(page, /<script|<link|href=|src=|NaN|<burst>/);
  t.match(page, '75.0 % of 4');
});

t.test('formatText() includes goodput and refusals by code', async (t) => {
  const text = formatText(REPORT);
  t.match(text, /urgent +4 +3 +75\.0/);
  t.match(text, 'queue_full 1');
});

t.test('formatTable() aligns its columns', async (t) => {
  t.equal(formatTable(['a', 'bb'], [['ccc', 1.23456]]), 'a      bb\nccc  1.23');
});
