import t from 'tap';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { HdrMetrics } from './hdr_metrics.js';

const SAMPLE =
  /^[a-zA-Z_][a-zA-Z0-9_]*(\{[a-zA-Z_]\w*="([^"\\\n]|\\.)*"(,[a-zA-Z_]\w*="([^"\\\n]|\\.)*")*\})? \S+$/;

function listLines(metrics: HdrMetrics): readonly string[] {
  return metrics.exportPrometheus().trimEnd().split('\n');
}

t.test('HdrMetrics exports counters, gauges and summaries', async (t) => {
  const metrics = new HdrMetrics({ clock: new VirtualClock() });
  metrics.count('requests_total', { tier: 'urgent', result: 'answered' });
  metrics.count('requests_total', { result: 'answered', tier: 'urgent' }, 2);
  metrics.set('queued', 4, { tier: 'batch' });
  metrics.set('queued', 3, { tier: 'batch' });
  for (let value = 1; value <= 1000; value += 1) metrics.record('wait_ms', value / 10);
  const lines = listLines(metrics);
  t.ok(lines.includes('# TYPE monsoonhall_requests_total counter'));
  t.ok(lines.includes('monsoonhall_requests_total{tier="urgent",result="answered"} 3'));
  t.ok(lines.includes('monsoonhall_queued{tier="batch"} 3'));
  t.ok(lines.includes('# TYPE monsoonhall_wait_ms summary'));
  t.ok(lines.includes('monsoonhall_wait_ms_count 1000'));
  const quantiles = new Map(
    lines.flatMap((line) => {
      const match = /^monsoonhall_wait_ms\{quantile="(.*)"\} (.*)$/.exec(line);
      return match ? [[Number(match[1]), Number(match[2])] as const] : [];
    }),
  );
  t.strictSame([...quantiles.keys()], [0.5, 0.95, 0.99, 0.999]);
  quantiles.forEach((value, quantile) => {
    t.ok(Math.abs(value - quantile * 100) <= quantile, `${quantile} within a hundredth: ${value}`);
  });
});

t.test('HdrMetrics exports unusual labels and values as valid Prometheus text', async (t) => {
  const metrics = new HdrMetrics({ clock: new VirtualClock() });
  metrics.count('odd_total', { 'a-b': 'x"y\\z\nw' });
  metrics.record('odd_ms', Number.NaN);
  metrics.record('odd_ms', -5, { tier: 'urgent' });
  metrics.record('odd_ms', 1e12, { tier: 'urgent' });
  const samples = listLines(metrics).filter((line) => !line.startsWith('#'));
  samples.forEach((line) => t.match(line, SAMPLE));
  t.ok(samples.includes('monsoonhall_odd_total{a_b="x\\"y\\\\z\\nw"} 1'));
});

t.test('HdrMetrics limits the number of series', async (t) => {
  // Guards against a label with an unbounded set of values: the process grows with each name
  // that clients invent until it is killed.
  const metrics = new HdrMetrics({
    clock: new VirtualClock(),
    maxSeries: 3,
    maxHistogramSeries: 2,
  });
  for (let index = 0; index < 10; index += 1) {
    metrics.count('requests_total', { account: `account-${index}` });
    metrics.record('wait_ms', 1, { account: `account-${index}` });
  }
  const lines = listLines(metrics);
  t.equal(lines.filter((line) => line.startsWith('monsoonhall_requests_total{')).length, 4);
  t.ok(lines.includes('monsoonhall_requests_total{overflow="true"} 7'));
  t.ok(lines.includes('monsoonhall_wait_ms_count{overflow="true"} 8'));
});

t.test('HdrMetrics drops old values from quantiles and keeps them in sums', async (t) => {
  const clock = new VirtualClock();
  const metrics = new HdrMetrics({ clock, windowMs: 1000 });
  // Rounds to whole milliseconds, since the histogram keeps two significant digits.
  const getMedian = (): number =>
    Math.round(
      Number(/^monsoonhall_wait_ms\{quantile="0.5"\} (.*)$/m.exec(metrics.exportPrometheus())?.[1]),
    );
  metrics.record('wait_ms', 50);
  clock.jump(1000);
  metrics.record('wait_ms', 50);
  t.equal(getMedian(), 50);
  clock.jump(2000);
  t.same(getMedian(), Number.NaN);
  metrics.record('wait_ms', 10);
  t.equal(getMedian(), 10);
  t.match(metrics.exportPrometheus(), /^monsoonhall_wait_ms_sum 110$/m);
});

t.test('HdrMetrics sums a counter by the values of one label', async (t) => {
  const metrics = new HdrMetrics({ clock: new VirtualClock() });
  metrics.count('refusals_total', { kind: 'queue_full', route: 'a' }, 2);
  metrics.count('refusals_total', { kind: 'queue_full', route: 'b' });
  metrics.count('refusals_total', { kind: 'rate_limited', route: 'a' });
  t.same(metrics.sumByLabel('refusals_total', 'kind'), { queue_full: 3, rate_limited: 1 });
  t.same(metrics.sumByLabel('unknown_total', 'kind'), {});
});
