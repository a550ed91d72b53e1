import t from 'tap';
import { PortReservation } from './mod.js';

const PORT_COUNT = 120;

// Symptom: a process of a fleet ends at its start with EADDRINUSE.
// Sequence: two fleets look for free ports at once and find the same one.
// Cause: a port that was found free is free until somebody listens on it.
t.test('PortReservation gives no port to two fleets', async (t) => {
  const reservations = [new PortReservation(), new PortReservation(), new PortReservation()];
  const takes = reservations.flatMap((each) =>
    Array.from({ length: PORT_COUNT }, () => each.take()),
  );
  const ports = await Promise.all(takes);
  t.equal(new Set(ports).size, reservations.length * PORT_COUNT);
  await Promise.all(reservations.map((each) => each.close()));
});
