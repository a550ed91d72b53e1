/**
 * Compiles each TypeScript file to one JavaScript module in `build/`, so that tests, benches and the
 * demo run on plain Node without a loader.
 */
import { readdirSync, rmSync, statSync } from 'node:fs';
import path from 'node:path';
import esbuild from 'esbuild';

const SOURCE_FOLDERS = ['src', 'platform', 'standin', 'bench', 'demo', 'soak', 'test'];

function listSources(folder) {
  return readdirSync(folder, { recursive: true })
    .map((name) => path.join(folder, String(name)))
    .filter((name) => name.endsWith('.ts') && !name.endsWith('.d.ts') && statSync(name).isFile());
}

function listExisting(folder) {
  try {
    return listSources(folder);
  } catch (error) {
    if (error.code === 'ENOENT') return [];
    throw error;
  }
}

const outdir = process.env.MONSOONHALL_BUILD_DIR ?? 'build';
rmSync(outdir, { recursive: true, force: true });
await esbuild.build({
  entryPoints: SOURCE_FOLDERS.flatMap(listExisting),
  outdir,
  outbase: '.',
  bundle: false,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  sourcemap: 'inline',
  sourcesContent: false,
});
