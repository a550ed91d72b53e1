/**
 * Builds the entry host that the platform runs, as two files: `target/monsoonhall.cjs`, which handles
 * signals, and `target/entry_host.mjs`, which it loads. Node starts a CommonJS file sooner than an ES
 * module, and a signal before its handler ends the process.
 */
import esbuild from 'esbuild';
import { leaveOutNativeParts } from './leave_out_native_parts.mjs';

const COMMON = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  // Less code to parse makes a restarted process ready sooner. Identifiers are kept for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
};

/** Leaves the program out of the first file, which loads it while it runs. */
const loadProgramLater = {
  name: 'load-program-later',
  setup(build) {
    build.onResolve({ filter: /^\.\/entry_host\.js$/ }, () => ({
      path: './entry_host.mjs',
      external: true,
    }));
  },
};

await esbuild.build({
  ...COMMON,
  entryPoints: ['platform/main.ts'],
  outfile: 'target/monsoonhall.cjs',
  format: 'cjs',
  plugins: [loadProgramLater],
});
await esbuild.build({
  ...COMMON,
  entryPoints: ['platform/entry_host.ts'],
  outfile: 'target/entry_host.mjs',
  format: 'esm',
  plugins: [leaveOutNativeParts],
  // Bundled CommonJS libraries call `require` for Node's built-in modules.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
