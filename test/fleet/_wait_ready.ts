/**
 * Waits for the processes of a fleet to become ready.
 *
 * @module
 */
import { sendControl } from './_control.js';
import type { FleetProcess } from './fleet_process.js';
import { waitUntil } from './wait_until.js';

const READY_TIMEOUT_MS = 20_000;
const CHECK_TIMEOUT_MS = 1000;

/**
 * Waits until a process answers a readiness check with status 200.
 *
 * @param url - URL of the readiness check
 * @param process - the process; its exit ends the wait
 * @throws Error with the output of the process if it exits or is not ready in time
 */
export async function waitUntilReady(url: string, process: FleetProcess): Promise<void> {
  const isReady = async (): Promise<boolean> =>
    (await sendControl(url, { timeoutMs: CHECK_TIMEOUT_MS })).status === 200;
  const findFailure = (): string | undefined =>
    process.isRunning ? undefined : `${process.id} exited with ${process.exitCode}`;
  await waitUntil(isReady, { subject: url, timeoutMs: READY_TIMEOUT_MS, findFailure }).catch(
    (error: Error) => {
      throw new Error(`${error.message}\n${process.output}`, { cause: error });
    },
  );
}
