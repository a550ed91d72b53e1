/** Builds `target/monsoonhall.mjs`, the entry host that the platform runs, as one file. */
import esbuild from 'esbuild';
import { leaveOutNativeParts } from './leave_out_native_parts.mjs';

await esbuild.build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/monsoonhall.mjs',
  bundle: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  plugins: [leaveOutNativeParts],
  // Bundled CommonJS libraries call `require` for Node's built-in modules.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
  // Less code to parse makes a restarted process ready sooner. Identifiers are kept for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
