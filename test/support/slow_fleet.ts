/**
 * Simulates sound servers that turn slow and fast again, over fakes.
 *
 * @module
 */
import { CutFleet } from './cut_fleet.js';
import type { FakeReply } from './direct_ends.js';
import type { FleetLoad } from './direct_fleet.js';
import type { DirectHost } from './direct_host.js';

/** Calls of one span of time, and how they were answered. */
export interface SpanResult {
  readonly sent: number;
  readonly served: number;
  /** Average time to the whole answer, in milliseconds. */
  readonly averageMs: number;
  /** Number of answers that came within the given time. */
  readonly soon: number;
  /** Time within which 19 of 20 answers came, in milliseconds. */
  readonly slowestMs: number;
  /** Runs at servers beyond the first one of each call. */
  readonly repeatedRuns: number;
}

/** Servers whose times a test sets, at any moment. */
export class SlowFleet extends CutFleet {
  /** Average duration of a request by server ID, in milliseconds; others take the default. */
  readonly runMs = new Map<string, number>();

  /** Time to the whole answer by number of the call, in milliseconds. */
  readonly #answerMs = new Map<number, number>();

  /** Sends one call, and notes when its answer is whole. */
  override call(request = {}, hosts: readonly DirectHost[] = this.hosts): FakeReply {
    const reply = super.call(request, hosts);
    const number = this.calls.length;
    const sentAtMs = this.clock.nowMs();
    reply.onEnd = () => this.#answerMs.set(number, this.clock.nowMs() - sentAtMs);
    return reply;
  }

  /** Sends calls for some time, waits until all of them have ended, and measures them. */
  async measure(load: FleetLoad, waitMs: number, soonMs = Infinity): Promise<SpanResult> {
    const first = this.calls.length + 1;
    const firstRun = this.runs.length;
    await this.run(load);
    const last = this.calls.length;
    await this.clock.advance(waitMs);
    const times = [...this.#answerMs]
      .filter(([number]) => number >= first && number <= last)
      .filter(([number]) => this.calls[number - 1]?.reply.head?.status === 200)
      .map(([, ms]) => ms)
      .sort((a, b) => a - b);
    const runs = this.runs.slice(firstRun).map(({ requestId }) => requestId);
    return {
      sent: last - first + 1,
      served: times.length,
      soon: times.filter((ms) => ms <= soonMs).length,
      averageMs: times.reduce((sum, ms) => sum + ms, 0) / times.length,
      slowestMs: times[Math.floor(times.length * 0.95)] as number,
      repeatedRuns: runs.length - new Set(runs).size,
    };
  }

  /**
   * Lists calls without an answer that were sent to one server alone, although the retry budget
   * refused them no other one.
   */
  listLeft(): string[] {
    const refused = this.hosts.flatMap(({ log }) => log.list('retry_refused'));
    const refusedIds = new Set(refused.map(({ requestId }) => requestId));
    return this.calls
      .map(({ reply }, index) => ({ reply, requestId: `call-${index + 1}` }))
      .filter(({ reply }) => reply.head?.status !== 200 || !reply.hasEnded)
      .map(({ requestId }) => requestId)
      .filter((id) => !refusedIds.has(id) && this.countSent(id) < 2);
  }

  /** Number of attempts of a call, through all hosts. */
  countSent(requestId: string): number {
    return this.hosts
      .flatMap(({ backend }) => backend.sent)
      .filter(({ request }) => request.request.requestId === requestId).length;
  }

  protected override drawRunMs(serverId: string): number {
    const averageMs = this.runMs.get(serverId);
    if (averageMs === undefined) return super.drawRunMs(serverId);
    return averageMs * (0.5 + this.random.nextFraction());
  }
}
