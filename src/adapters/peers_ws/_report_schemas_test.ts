import t from 'tap';
import { ReportScope } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import { hostReportSchema } from './_report_schemas.js';

/** A report of a host that knows no figures by urgency. */
const FORMER_REPORT = {
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
  rosterRevision: 3,
  heardRosterRevision: 2,
};

t.test('reports of hosts that know no figures by urgency are accepted', async (t) => {
  // Guards against hosts of two versions that ignore each other during a release.
  const report = hostReportSchema.parse(FORMER_REPORT);
  t.same(report.waitingByUrgency, {});
  t.same(report.startedByUrgency, {});
  t.same(report.waitingCalls, { engines: 4 });
});

t.test('figures by urgency that are negative, endless or too many are rejected', async (t) => {
  // Guards against one report that spoils the sums of its receiver.
  const many = Object.fromEntries(Array.from({ length: 65 }, (_, urgency) => [urgency, 1]));
  const accepted = { ...FORMER_REPORT, startedByUrgency: { engines: { 0: 2.5 } } };
  t.ok(hostReportSchema.safeParse(accepted).success);
  [{ engines: { 0: -1 } }, { engines: { 0: Infinity } }, { engines: many }, { engines: 3 }].forEach(
    (startedByUrgency) => {
      t.notOk(hostReportSchema.safeParse({ ...FORMER_REPORT, startedByUrgency }).success);
    },
  );
});
