/**
 * Readiness of the processes of a fleet.
 *
 * @module
 */
import { sendControl } from './_control.js';
import type { FleetProcess } from './fleet_process.js';
import { waitUntil } from './wait_until.js';

const READY_LIMIT_MS = 20_000;
const ANSWER_LIMIT_MS = 1000;

/**
 * Waits until a process answers 200.
 *
 * @param url - what to ask
 * @param process - the process, whose end makes the wait pointless
 * @throws Error with the process's output
 */
export async function waitReady(url: string, process: FleetProcess): Promise<void> {
  const isReady = async (): Promise<boolean> =>
    (await sendControl(url, { timeoutMs: ANSWER_LIMIT_MS })).status === 200;
  const findFailure = (): string | undefined =>
    process.isRunning ? undefined : `${process.id} ended with ${process.exitCode}`;
  await waitUntil(isReady, { subject: url, limitMs: READY_LIMIT_MS, findFailure }).catch(
    (error: Error) => {
      throw new Error(`${error.message}\n${process.output}`, { cause: error });
    },
  );
}
