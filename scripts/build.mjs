/**
 * Builds `dist/monsoonhall`: one bundle, put into a copy of the Node binary as
 * a single executable application.
 */
import { execFileSync } from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';
import esbuild from 'esbuild';
import { inject } from 'postject';
import { leaveOutNativeParts } from './leave_out_native_parts.mjs';

const FOLDER = 'dist';
const BINARY = path.join(FOLDER, 'monsoonhall');
/** Where Node looks for the application; fixed by Node's documentation. */
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

async function buildBundle(file) {
  await esbuild.build({
    entryPoints: ['src/commands/main.ts'],
    outfile: file,
    bundle: true,
    format: 'cjs',
    platform: 'node',
    target: 'node20',
    plugins: [leaveOutNativeParts],
    sourcemap: 'inline',
    sourcesContent: false,
    logLevel: 'warning',
  });
}

/** Has Node prepare the bundle. */
function writeBlob(work, bundle) {
  const config = path.join(work, 'sea-config.json');
  const output = path.join(work, 'monsoonhall.blob');
  const settings = { main: bundle, output, disableExperimentalSEAWarning: true };
  writeFileSync(config, JSON.stringify(settings));
  execFileSync(process.execPath, ['--experimental-sea-config', config], { stdio: 'pipe' });
  return readFileSync(output);
}

mkdirSync(FOLDER, { recursive: true });
// A folder of its own, and a move at the end: two builds at once don't meet,
// and a running copy of the binary is not written to.
const work = mkdtempSync(path.join(FOLDER, 'build-'));
try {
  const bundle = path.join(work, 'monsoonhall.cjs');
  await buildBundle(bundle);
  const blob = writeBlob(work, bundle);
  const unfinished = path.join(work, 'monsoonhall');
  copyFileSync(process.execPath, unfinished);
  chmodSync(unfinished, 0o755);
  await inject(unfinished, 'NODE_SEA_BLOB', blob, { sentinelFuse: FUSE });
  renameSync(unfinished, BINARY);
} finally {
  rmSync(work, { recursive: true, force: true });
}
process.stdout.write(`${BINARY}\n`);
