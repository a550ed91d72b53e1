import t from 'tap';
import { ReportScope } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import { parseMessage } from './_message_schema.js';

/** A report as the first versions sent it. */
const FIRST_REPORT = {
  type: PeerMessageType.HostReport,
  sequence: 12,
  heardSequence: 11,
  scope: ReportScope.Group,
  hostCount: 2,
  inFlight: {},
  waitingCalls: {},
  firstWaiting: {},
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
