import t from 'tap';
import { PortReservation } from './mod.js';

const PORT_COUNT = 120;

// Guards against a fleet process that fails to start with EADDRINUSE: two fleets that search for
// free ports at once can find the same port, since it stays free until a process listens on it.
t.test('PortReservation never reserves a port for two fleets', async (t) => {
  const reservations = [new PortReservation(), new PortReservation(), new PortReservation()];
  const takes = reservations.flatMap((each) =>
    Array.from({ length: PORT_COUNT }, () => each.reserve()),
  );
  const ports = await Promise.all(takes);
  t.equal(new Set(ports).size, reservations.length * PORT_COUNT);
  await Promise.all(reservations.map((each) => each.close()));
});
