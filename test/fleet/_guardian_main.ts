/**
 * Program: kills the processes of a fleet, and removes its temporary folder,
 * when its starter has died without doing so. It reads `+pid` and `-pid` lines; the end of its input means
 * that the starter is gone.
 *
 * @module
 */
import { rmSync } from 'node:fs';
import { createInterface } from 'node:readline';

const folder = process.argv[2];
const pids = new Set<number>();
const lines = createInterface({ input: process.stdin });

lines.on('line', (line) => {
  const pid = Number(line.slice(1));
  if (line.startsWith('+')) pids.add(pid);
  else pids.delete(pid);
});
lines.on('close', () => {
  pids.forEach((pid) => {
    try {
      process.kill(pid, 'SIGKILL');
    } catch {
      // It ended by itself.
    }
  });
  if (folder !== undefined) rmSync(folder, { recursive: true, force: true });
  process.exit(0);
});
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => undefined));
