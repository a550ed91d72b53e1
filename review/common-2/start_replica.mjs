/** Starts a stand-in replica as a process of its own. */
import { fork } from 'node:child_process';
import path from 'node:path';

const PROGRAM = path.join(import.meta.dirname, 'replica_process.mjs');

/** Time after its end for which the entry of a replica stays in the store: three heartbeats. */
const ENTRY_LIFE_MS = 3_600;

/** @returns the process of the replica */
export function startReplica(one, options) {
  const child = fork(PROGRAM, [JSON.stringify(options)]);
  child.on('message', ({ put, event, fields }) => {
    if (put) one.store.put(put.key, put.value);
    else one.record(event, fields);
  });
  child.once('exit', (code, signal) => {
    one.record('replica exits', { replica: options.id, code, signal });
    if (code === 0) one.store.remove(`servers/${options.id}`);
    else setTimeout(() => one.store.remove(`servers/${options.id}`), ENTRY_LIFE_MS);
  });
  one.onEnd(() => child.kill('SIGKILL'));
  return child;
}
