/**
 * Implements `monsoonhall load`, which offers open-loop load and reports the outcomes.
 *
 * @module
 */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import {
  buildDefaultPlan,
  buildLoadReport,
  computePlanDurationMs,
  parseLoadPlan,
  readRunRecords,
  runLoad,
} from '../load/mod.js';
import type { LoadPlan, LoadReport } from '../load/mod.js';
import { formatText, writeReports } from '../load/report/mod.js';

const BROKEN_GUARANTEE_EXIT_CODE = 1;
const USAGE_EXIT_CODE = 2;
const DEFAULT_SECONDS = 10;
const DEFAULT_REQUESTS_PER_SECOND = 5;
const MS_PER_SECOND = 1000;

/** Offers load as a plan or the flags describe it, and writes the report. */
export class LoadCommand extends Command {
  static override paths = [['load']];

  static override usage = Command.Usage({
    description: 'offer open-loop load and report goodput by tier',
    details:
      'Offers seeded arrivals without waiting for answers. Exits with 1 when a request got no ' +
      'final answer or a wrong one, and, with --runs, when one ran twice or despite a refusal.',
    examples: [
      ['A plan against two entry hosts', 'monsoonhall load --url URL --url URL --plan plan.json'],
      ['The built-in mix', 'monsoonhall load --url URL --key firm-a=secret --rate 20'],
    ],
  });

  urls = Option.Array('--url', { description: 'base URL of an entry host; may be repeated' });

  keys = Option.Array('--key', {
    description: 'API key of an account, as account=key; may be repeated',
  });

  planFile = Option.String('--plan', { description: 'load plan as JSON' });

  model = Option.String('--model', 'monsoon-draft', {
    description: 'model to call when there is no plan',
  });

  service = Option.String('--service', 'monsoon-llm', { description: 'service of that model' });

  rate = Option.String('--rate', { description: 'requests per second when there is no plan' });

  seed = Option.String('--seed', '1', { description: 'seed of the arrivals' });

  seconds = Option.String('--seconds', {
    description: 'duration; the phases of a plan are scaled to it',
  });

  runs = Option.Array('--runs', {
    description: 'URL of a stand-in backend server to read run records from; may be repeated',
  });

  jsonFile = Option.String('--json', { description: 'file to write the results to as JSON' });

  htmlFile = Option.String('--html', { description: 'file to write a page with plots to' });

  /** @returns the exit code */
  override async execute(): Promise<number> {
    try {
      const report = await this.#run();
      this.context.stdout.write(formatText(report));
      return hasBrokenGuarantee(report) ? BROKEN_GUARANTEE_EXIT_CODE : 0;
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return USAGE_EXIT_CODE;
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
        requestsPerSecond: this.rate
          ? parsePositive('--rate', this.rate)
          : DEFAULT_REQUESTS_PER_SECOND,
        seconds: seconds || DEFAULT_SECONDS,
        accounts: [...keys].map(([id, apiKey]) => ({ id, apiKey })),
      });
    }
    const plan = parseLoadPlan(JSON.parse(await readFile(this.planFile, 'utf8')));
    const timeScale = seconds ? (seconds * MS_PER_SECOND) / computePlanDurationMs(plan) : 1;
    return {
      ...plan,
      phases: plan.phases.map((phase) => ({ ...phase, seconds: phase.seconds * timeScale })),
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

function hasBrokenGuarantee(report: LoadReport): boolean {
  const { comparison } = report;
  if (report.tiers.some((tier) => tier.lost + tier.wrong > 0)) return true;
  return comparison ? comparison.doubles.length + comparison.falseNotRun.length > 0 : false;
}
