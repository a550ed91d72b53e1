/** Runs one of the project's programs: installs missing packages, compiles and starts it. */
import { spawnSync, spawn } from 'node:child_process';
import { existsSync } from 'node:fs';

function runStep(command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 'ignore', 'inherit'] });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

const PARENT_CHECK_MS = 500;
const PROGRAMS = {
  demo: 'build/demo/main.js',
  bench: 'build/bench/main.js',
  soak: 'build/soak/main.js',
};
const [name, ...rest] = process.argv.slice(2);
const program = PROGRAMS[name];
if (!program) {
  process.stderr.write(
    `Cannot run "${name}": it must be one of ${Object.keys(PROGRAMS).join(', ')}\n`,
  );
  process.exit(2);
}
if (!existsSync('node_modules/.package-lock.json')) runStep('npm', ['ci', '--ignore-scripts']);
runStep('node', ['scripts/compile.mjs']);
const child = spawn('node', ['--enable-source-maps', program, ...rest], { stdio: 'inherit' });
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => child.kill(signal)));
child.on('exit', (code) => process.exit(code ?? 1));

// If npm is killed, this process gets no signal and the program would keep running. A changed ID of
// the parent process shows that npm has exited.
const parentPid = process.ppid;
setInterval(() => {
  if (process.ppid !== parentPid) child.kill('SIGINT');
}, PARENT_CHECK_MS).unref();
