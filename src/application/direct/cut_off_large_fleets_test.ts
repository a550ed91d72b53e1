/**
 * Tests the largest fleets in which many entry hosts lose their links to backend servers.
 *
 * @module
 */
import t from 'tap';
import { pickFraction, playSizes } from '../../../test/support/cut_cases.js';
import { CutMode } from '../../../test/support/cut_fleet.js';

t.test('large fleets serve the callers of cut-off hosts', async (t) => {
  // Guards against searches for a peer that end before the few among many are found.
  const modes = [CutMode.Hang, CutMode.Reset];
  await playSizes(t, [81], { pickCut: pickFraction(0.3), modes });
  await playSizes(t, [195], { pickCut: pickFraction(0.3), modes: [CutMode.Hang] });
});
