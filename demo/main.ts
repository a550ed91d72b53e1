/**
 * Program `npm run demo`: runs a fleet under load, kills an entry host midway and checks that every
 * guarantee holds. `npm run demo -- --hold` runs the same fleet without load until a signal.
 *
 * @module
 */
import { parseArgs } from 'node:util';
import { MOULINET, PADMARAAG } from '../test/fleet/mod.js';
import { runHold } from './_hold.js';
import { formatVerdict } from './_report.js';
import { runShape } from './_shape_run.js';
import type { LoadShape } from './_shape_run.js';
import { listViolations } from './_verdict.js';

const DEMO_LOAD: LoadShape = {
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

/** Runs both example users' shapes in turn. @returns one line per violated guarantee */
async function runDemo(): Promise<string[]> {
  const violations: string[] = [];
  for (const shape of SHAPES) {
    print(`${shape.name} (${shape.region}: ${shape.availabilityZones.join(', ')})`);
    const verdict = await runShape(shape, DEMO_LOAD, print);
    print(formatVerdict(verdict));
    violations.push(...listViolations(verdict).map((text) => `${shape.name}: ${text}`));
  }
  return violations;
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
  const violations = await runDemo();
  violations.forEach((text) => print(`guarantee violated: ${text}`));
  if (violations.length === 0) print('no guarantee was violated');
  process.exitCode = violations.length === 0 ? 0 : 1;
}
