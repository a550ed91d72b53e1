/** Builds `target/monsoonhall.mjs`: the entry host as the platform runs it, in one file. */
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
  // Libraries in CommonJS call `require` for Node's own modules.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
  // A restarted process is ready sooner the less there is to parse; names stay for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
