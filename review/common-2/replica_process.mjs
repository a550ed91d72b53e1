/**
 * Runs a stand-in replica as a process of its own. It hands what it writes to the store, and what it
 * records, to its parent.
 */
import { Replica } from './replica.mjs';

const options = JSON.parse(process.argv[2]);

const replica = new Replica({
  ...options,
  store: { put: (key, value) => process.send({ put: { key, value } }) },
  record: (event, fields) => process.send({ event, fields }),
});

/** A replica that leaves goes on serving for a while, and then exits. */
process.on('message', ({ drainForMs }) => {
  replica.state = 'draining';
  replica.register();
  setTimeout(() => process.exit(0), drainForMs);
});

process.on('disconnect', () => process.exit(0));

await replica.start();
