/**
 * Entry point of the program `monsoonhall`.
 *
 * @module
 */
import { runCli } from './_cli.js';

// A closed pipe (EPIPE) loses the output, but it must not end the process.
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
