/**
 * Program `npm run soak -- --seed N --minutes M`: plays soak runs with consecutive seeds and keeps
 * the logs of those that violate a guarantee.
 *
 * @module
 */
import { rmSync } from 'node:fs';
import path from 'node:path';
import { parseArgs } from 'node:util';
import { runSoak } from './run_soak.js';
import type { SoakVerdict } from './run_soak.js';
import { planSilences, SILENCE_FLEET } from './silence_plan.js';

const FOLDER = 'soak-logs';

const { values } = parseArgs({
  options: {
    seed: { type: 'string' },
    seeds: { type: 'string', default: '1' },
    minutes: { type: 'string' },
    hosts: { type: 'string', default: '4' },
    replicas: { type: 'string', default: '4' },
    callers: { type: 'string', default: '8' },
    seconds: { type: 'string', default: '12' },
    jobs: { type: 'string', default: '2' },
    silences: { type: 'boolean', default: false },
    quiet: { type: 'boolean', default: false },
  },
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function playRun(seed: number): Promise<SoakVerdict> {
  const lengthMs = Number(values.seconds) * 1_000;
  const folder = path.join(FOLDER, `seed-${seed}`);
  rmSync(folder, { recursive: true, force: true });
  const verdict = await runSoak({
    seed,
    hosts: Number(values.hosts),
    replicas: Number(values.replicas),
    callers: Number(values.callers),
    lengthMs,
    folder,
    ...(values.silences && {
      plan: planSilences({
        seed,
        lengthMs,
        indexes: Number(values.hosts) * Number(values.replicas),
      }),
      fleet: SILENCE_FLEET,
    }),
    onProgress: values.quiet ? () => undefined : print,
  });
  const { broken, calls, served, refused, failed, unanswered, brokenOff, faults } = verdict;
  print(
    `seed ${seed}: ${faults.length} faults, ${calls} calls, ${served} served, ` +
      `${refused} refused, ${failed} failed, ${unanswered} unanswered, ${brokenOff} broken off: ` +
      `${broken.length} violations`,
  );
  broken.slice(0, 10).forEach((line) => print(`  ${line}`));
  if (broken.length === 0) rmSync(folder, { recursive: true, force: true });
  return verdict;
}

async function run(): Promise<void> {
  const firstSeed = values.seed === undefined ? Date.now() % 1_000_000 : Number(values.seed);
  const endsAtMs = performance.now() + Number(values.minutes ?? 0) * 60_000;
  const maxRuns = values.minutes === undefined ? Number(values.seeds) : Infinity;
  const verdicts: SoakVerdict[] = [];
  let nextSeed = firstSeed;
  const runWorker = async (): Promise<void> => {
    while (
      nextSeed < firstSeed + maxRuns &&
      (maxRuns !== Infinity || performance.now() < endsAtMs)
    ) {
      const seed = nextSeed;
      nextSeed += 1;
      verdicts.push(await playRun(seed));
    }
  };
  await Promise.all(Array.from({ length: Number(values.jobs) }, runWorker));
  const broken = verdicts.filter((verdict) => verdict.broken.length > 0);
  print(
    broken.length === 0
      ? `${verdicts.length} runs from seed ${firstSeed}: no guarantee was violated`
      : `${verdicts.length} runs: guarantees were violated with seeds ${broken.map(({ seed }) => seed).join()}; logs are in ${FOLDER}/`,
  );
  process.exit(broken.length === 0 ? 0 : 1);
}

run().catch((error: unknown) => {
  process.stderr.write(`soak: ${String(error)}\n`);
  process.exit(2);
});
