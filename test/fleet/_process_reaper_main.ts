/**
 * Entry point of the helper process that kills the processes of a fleet and removes its
 * temporary folder when the starter of the fleet is gone, even if that was killed. It reads
 * lines `+pid` (started) and `-pid` (exited) from stdin, whose end means that the starter is gone.
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
      // The process has already exited.
    }
  });
  if (folder !== undefined) rmSync(folder, { recursive: true, force: true });
  process.exit(0);
});
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => undefined));
