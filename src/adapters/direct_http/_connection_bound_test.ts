import t from 'tap';
import { computeMaxConnections } from './_connection_bound.js';
import { readDescriptorLimit } from './_descriptor_limit.js';

const PROCESS_CONNECTIONS = Math.floor((readDescriptorLimit() * 3) / 4);

// Guards against a host that opens more sockets than its machine has, whose process may open more.
t.test('the bound on connections follows the smallest limit', async (t) => {
  t.equal(computeMaxConnections(), PROCESS_CONNECTIONS);
  t.equal(computeMaxConnections({ maxSockets: 400 }), 300);
  t.equal(computeMaxConnections({ maxSockets: 1e9 }), PROCESS_CONNECTIONS);
  t.equal(computeMaxConnections({ memoryBytes: 921_600, maxSockets: 400 }), 100);
  t.equal(computeMaxConnections({ maxSockets: -100 }), 1);
});
