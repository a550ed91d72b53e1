/**
 * The program `monsoonhall`.
 *
 * @module
 */
import { runCli } from './_cli.js';

// A reader that has gone (EPIPE) must cost the output and not the process.
process.stdout.on('error', () => undefined);

runCli(process.argv.slice(2)).then(
  (exitCode) => {
    process.exitCode = exitCode;
  },
  (error: unknown) => {
    process.stderr.write(`monsoonhall: ${String(error)}\n`);
    process.exitCode = 1;
  },
);
