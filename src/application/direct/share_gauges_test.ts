import t from 'tap';
import { FakeMetrics } from '../../../test/support/fakes.js';
import type { MetricLabels } from '../../ports/mod.js';
import { ShareGauges } from './_share_gauges.js';

/** Keeps the last value of each account's gauges. */
class AccountMetrics extends FakeMetrics {
  readonly gauges: Record<string, number> = {};

  override set(name: string, value: number, labels: MetricLabels = {}): void {
    this.gauges[`${name} ${labels.service} ${labels.account}`] = value;
  }
}

t.test('gauges show the busiest accounts, and 0 for those that no longer are', async (t) => {
  // Guards against gauges that keep the last value of an account that has become idle.
  const metrics = new AccountMetrics();
  const gauges = new ShareGauges(metrics);
  const account = { serviceId: 'engines', accountId: 'a', usageMs: 400.4, share: 0.25 };
  gauges.update([account]);
  const shown = {
    'account_slot_usage_ms engines a': 400,
    'account_slot_share engines a': 0.25,
  };
  t.same(metrics.gauges, shown);
  gauges.update([{ ...account, accountId: 'b' }]);
  t.same(metrics.gauges, {
    'account_slot_usage_ms engines a': 0,
    'account_slot_share engines a': 0,
    'account_slot_usage_ms engines b': 400,
    'account_slot_share engines b': 0.25,
  });
});
