/**
 * Program `npm run bench`: lists the benches; `npm run bench -- NAME` runs one.
 *
 * @module
 */
import { writeFile } from 'node:fs/promises';
import { availableParallelism, loadavg } from 'node:os';
import { formatTable } from '../src/load/report/mod.js';
import type { Bench, BenchOptions } from './bench.js';
import { BENCHES } from './registry.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const MS_PER_SECOND = 1000;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Parses flags of the form `--name value` or `--name=value`; every flag needs a value. */
function parseFlags(args: readonly string[]): ReadonlyMap<string, string> {
  const flags = new Map<string, string>();
  for (let index = 0; index < args.length; index += 1) {
    const arg = args[index] as string;
    const match = /^--([a-z-]+)(?:=(.*))?$/.exec(arg);
    if (!match) throw new Error(`Cannot use "${arg}": it is not a flag`);
    const value = match[2] ?? args[index + 1];
    if (value === undefined) throw new Error(`Cannot use "${arg}": its value is missing`);
    if (match[2] === undefined) index += 1;
    flags.set(match[1] as string, value);
  }
  return flags;
}

function printBenches(): void {
  const rows = BENCHES.map(({ name, description }) => `  ${name.padEnd(24)}${description}`);
  printLine(['npm run bench -- NAME [--json FILE] [--html FILE] [flags]', ...rows].join('\n'));
}

async function runBench(bench: Bench, options: BenchOptions): Promise<void> {
  const { flags } = options;
  const startedAt = new Date().toISOString();
  const loadBefore = loadavg();
  const startMs = performance.now();
  const result = await bench.run(options);
  const seconds = (performance.now() - startMs) / MS_PER_SECOND;
  printLine(`${bench.name}: ${bench.description}`);
  printLine(formatTable(result.head, result.rows));
  const machine = { cores: availableParallelism(), loadBefore, loadAfter: loadavg() };
  printLine(
    `${seconds.toFixed(0)} s; load average before and after: ` +
      `${loadBefore[0]?.toFixed(1)}, ${machine.loadAfter[0]?.toFixed(1)} on ${machine.cores} cores`,
  );
  const jsonFile = flags.get('json');
  if (jsonFile !== undefined) {
    const { html: _html, ...rest } = result;
    const record = { name: bench.name, startedAt, seconds, machine, ...rest };
    await writeFile(jsonFile, `${JSON.stringify(record, undefined, 2)}\n`);
  }
  const htmlFile = flags.get('html');
  if (htmlFile !== undefined && result.html !== undefined) await writeFile(htmlFile, result.html);
}

async function run(): Promise<number> {
  const [name, ...args] = process.argv.slice(2);
  if (name === undefined) {
    printBenches();
    return 0;
  }
  const bench = BENCHES.find((each) => each.name === name);
  if (!bench) {
    process.stderr.write(`Cannot run bench "${name}": no bench has that name\n`);
    return EXIT_USAGE;
  }
  const note = (line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  await runBench(bench, { flags: parseFlags(args), reportProgress: note });
  return 0;
}

process.exitCode = await run().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  return EXIT_FAILED;
});
