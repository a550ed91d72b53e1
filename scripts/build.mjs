/**
 * Builds `dist/monsoonhall`, a single executable application: a copy of the Node binary into which
 * the bundled program is injected.
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
/** Marker by which Node finds the injected application; its value is fixed by Node. */
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

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

/** Runs Node to convert the bundle to a blob, and returns the blob's bytes. */
function writeBlob(workFolder, bundle) {
  const config = path.join(workFolder, 'sea-config.json');
  const output = path.join(workFolder, 'monsoonhall.blob');
  const settings = { main: bundle, output, disableExperimentalSEAWarning: true };
  writeFileSync(config, JSON.stringify(settings));
  execFileSync(process.execPath, ['--experimental-sea-config', config], { stdio: 'pipe' });
  return readFileSync(output);
}

mkdirSync(FOLDER, { recursive: true });
// Each build uses its own folder and moves the binary at the end, so that concurrent builds don't
// collide and a running binary is not overwritten.
const workFolder = mkdtempSync(path.join(FOLDER, 'build-'));
try {
  const bundle = path.join(workFolder, 'monsoonhall.cjs');
  await buildBundle(bundle);
  const blob = writeBlob(workFolder, bundle);
  const unfinished = path.join(workFolder, 'monsoonhall');
  copyFileSync(process.execPath, unfinished);
  chmodSync(unfinished, 0o755);
  await inject(unfinished, 'NODE_SEA_BLOB', blob, { sentinelFuse: SEA_FUSE });
  renameSync(unfinished, BINARY);
} finally {
  rmSync(workFolder, { recursive: true, force: true });
}
process.stdout.write(`${BINARY}\n`);
