/**
 * `monsoonhall load`: offers open-loop load and says what became of it.
 *
 * @module
 */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import {
  buildDefaultPlan,
  buildLoadReport,
  computePlanMs,
  parseLoadPlan,
  readRunRecords,
  runLoad,
} from '../load/mod.js';
import type { LoadPlan, LoadReport } from '../load/mod.js';
import { formatText, writeReports } from '../load/report/mod.js';

const EXIT_PROMISE_BROKEN = 1;
const EXIT_USAGE = 2;
const DEFAULT_SECONDS = 10;
const DEFAULT_RATE = 5;
const MS_PER_SECOND = 1000;

/** The command line of `monsoonhall load`. */
export class LoadCommand extends Command {
  static override paths = [['load']];

  static override usage = Command.Usage({
    description: 'offer open-loop load and report goodput by tier',
    details:
      'Offers seeded arrivals without waiting for answers. Exits with 1 when a request got no ' +
      'final answer or a wrong one, and, with --runs, when one was doubled or falsely refused as not run.',
    examples: [
      ['A plan against two entry hosts', 'monsoonhall load --url URL --url URL --plan plan.json'],
      ['The mix that is built in', 'monsoonhall load --url URL --key firm-a=secret --rate 20'],
    ],
  });

  urls = Option.Array('--url', { description: 'base URL of an entry host; repeat it' });

  keys = Option.Array('--key', { description: 'account=key; repeat it' });

  planFile = Option.String('--plan', { description: 'load plan as JSON' });

  model = Option.String('--model', 'monsoon-draft', { description: 'model without a plan' });

  service = Option.String('--service', 'monsoon-llm', { description: 'its service' });

  rate = Option.String('--rate', { description: 'requests a second without a plan' });

  seed = Option.String('--seed', '1', { description: 'seed of the arrivals' });

  seconds = Option.String('--seconds', { description: 'length; stretches the phases of a plan' });

  runs = Option.Array('--runs', { description: "stand-in backend server's URL; repeat it" });

  jsonFile = Option.String('--json', { description: 'write the figures there' });

  htmlFile = Option.String('--html', { description: 'write a page with plots there' });

  /** @returns exit code */
  override async execute(): Promise<number> {
    try {
      const report = await this.#run();
      this.context.stdout.write(formatText(report));
      return hasBrokenPromise(report) ? EXIT_PROMISE_BROKEN : 0;
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return EXIT_USAGE;
    }
  }

  async #run(): Promise<LoadReport> {
    if (!this.urls?.length) throw new Error('Cannot offer load: --url is missing');
    const seed = parsePositive('--seed', this.seed);
    const plan = await this.#readPlan();
    const run = await runLoad(plan, { urls: this.urls, seed });
    const records = this.runs ? await readRunRecords(this.runs) : undefined;
    const report = buildLoadReport(run, { name: this.planFile ?? 'built-in mix', records });
    await writeReports([report], {
      title: 'monsoonhall load',
      jsonFile: this.jsonFile,
      htmlFile: this.htmlFile,
      settings: { ...plan, accounts: plan.accounts.map(({ id, share }) => ({ id, share })) },
    });
    return report;
  }

  async #readPlan(): Promise<LoadPlan> {
    const keys = parseKeys(this.keys ?? []);
    const seconds = this.seconds && parsePositive('--seconds', this.seconds);
    if (this.planFile === undefined) {
      return buildDefaultPlan({
        model: this.model,
        service: this.service,
        requestsPerSecond: this.rate ? parsePositive('--rate', this.rate) : DEFAULT_RATE,
        seconds: seconds || DEFAULT_SECONDS,
        accounts: [...keys].map(([id, apiKey]) => ({ id, apiKey })),
      });
    }
    const plan = parseLoadPlan(JSON.parse(await readFile(this.planFile, 'utf8')));
    const factor = seconds ? (seconds * MS_PER_SECOND) / computePlanMs(plan) : 1;
    return {
      ...plan,
      phases: plan.phases.map((phase) => ({ ...phase, seconds: phase.seconds * factor })),
      accounts: plan.accounts.map((account) => ({
        ...account,
        apiKey: keys.get(account.id) ?? account.apiKey,
      })),
    };
  }
}

function parseKeys(pairs: readonly string[]): ReadonlyMap<string, string> {
  return new Map(
    pairs.map((pair) => {
      const [account = '', ...rest] = pair.split('=');
      if (account === '' || rest.length === 0) {
        throw new Error('Cannot use --key: it must be account=key');
      }
      return [account, rest.join('=')];
    }),
  );
}

function parsePositive(flag: string, text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) {
    throw new Error(`Cannot use ${flag} "${text}": it must be a number above 0`);
  }
  return value;
}

function hasBrokenPromise(report: LoadReport): boolean {
  const { comparison } = report;
  if (report.tiers.some((tier) => tier.lost + tier.wrong > 0)) return true;
  return comparison ? comparison.doubles.length + comparison.falseNotRun.length > 0 : false;
}
