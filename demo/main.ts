/**
 * Program: the demo. `npm run demo` shows the whole path under load with an
 * entry host killed midway; `npm run demo -- --hold` holds the same fleet.
 *
 * @module
 */
import { parseArgs } from 'node:util';
import { MOULINET, PADMARAAG } from '../test/fleet/mod.js';
import { runHold } from './_hold.js';
import { formatVerdict } from './_report.js';
import { runShape } from './_shape_run.js';
import type { LoadShape } from './_shape_run.js';
import { listBrokenPromises } from './_verdict.js';

const LOAD: LoadShape = {
  seed: 42,
  durationMs: 14_000,
  arrivalsPerSecond: 30,
  burstFactor: 2.5,
  timeScale: 0.25,
};

const SHAPES = [MOULINET, PADMARAAG];

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs both users' shapes, one after the other. */
async function runDemo(): Promise<string[]> {
  const broken: string[] = [];
  for (const shape of SHAPES) {
    print(`${shape.name} (${shape.region}: ${shape.availabilityZones.join(', ')})`);
    const verdict = await runShape(shape, LOAD, print);
    print(formatVerdict(verdict));
    broken.push(...listBrokenPromises(verdict).map((text) => `${shape.name}: ${text}`));
  }
  return broken;
}

const { values } = parseArgs({
  options: {
    hold: { type: 'boolean', default: false },
    shape: { type: 'string', default: MOULINET.name },
  },
});

if (values.hold) {
  const shape = SHAPES.find((each) => each.name.toLowerCase() === values.shape.toLowerCase());
  await runHold(shape ?? MOULINET);
} else {
  const broken = await runDemo();
  broken.forEach((text) => print(`promise broken: ${text}`));
  if (broken.length === 0) print('every promise was kept');
  process.exitCode = broken.length === 0 ? 0 : 1;
}
