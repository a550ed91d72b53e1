import t from 'tap';
import { ReportScope } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import { parseMessage } from './_message_schema.js';
import { hostReportSchema } from './_report_schemas.js';

/** A report as the first versions sent it. */
const FIRST_REPORT = {
  type: PeerMessageType.HostReport,
  sequence: 12,
  heardSequence: 11,
  scope: ReportScope.Group,
  hostCount: 2,
  inFlight: {},
  waitingCalls: { engines: 4 },
  firstWaiting: { engines: 1 },
  avoidedBy: {},
  spentUnits: {},
  endedServers: [],
  roster: [],
  rosterRevision: 4,
  heardRosterRevision: 3,
};

t.test('parseMessage() accepts a report without usage of accounts', async (t) => {
  // Guards against hosts of the former version that count as silent while a release runs.
  t.match(parseMessage(FIRST_REPORT), { accountUsage: {} });
});

t.test('parseMessage() rejects a report with negative or fractional usage', async (t) => {
  const parse = (usageMs: number) => () =>
    parseMessage({ ...FIRST_REPORT, accountUsage: { 'engines\na': usageMs } });
  t.throws(parse(-1));
  t.throws(parse(0.5));
  t.doesNotThrow(parse(5));
});

t.test('reports of hosts that know no figures by urgency are accepted', async (t) => {
  // Guards against hosts of two versions that ignore each other during a release.
  const report = hostReportSchema.parse(FIRST_REPORT);
  t.same(report.waitingByUrgency, {});
  t.same(report.startedByUrgency, {});
  t.same(report.waitingCalls, FIRST_REPORT.waitingCalls);
});

t.test('figures by urgency that are negative, endless or too many are rejected', async (t) => {
  // Guards against one report that spoils the sums of its receiver.
  const many = Object.fromEntries(Array.from({ length: 65 }, (_, urgency) => [urgency, 1]));
  const accepted = { ...FIRST_REPORT, startedByUrgency: { engines: { 0: 2.5 } } };
  t.ok(hostReportSchema.safeParse(accepted).success);
  [{ engines: { 0: -1 } }, { engines: { 0: Infinity } }, { engines: many }, { engines: 3 }].forEach(
    (startedByUrgency) => {
      t.notOk(hostReportSchema.safeParse({ ...FIRST_REPORT, startedByUrgency }).success);
    },
  );
});
