/**
 * Waits for the processes of a fleet to become ready.
 *
 * @module
 */
import { sendControl } from './_control.js';
import type { FleetProcess } from './fleet_process.js';
import { waitUntil } from './wait_until.js';

const READY_TIMEOUT_MS = 60_000;
const CHECK_TIMEOUT_MS = 1000;

const READY_ANSWER = 'ready';

/**
 * Waits until a process answers a readiness check with status 200.
 *
 * @param url - URL of the readiness check
 * @param process - the process; its exit ends the wait
 * @throws Error with the output of the process if it exits or is not ready in time
 */
export async function waitUntilReady(url: string, process: FleetProcess): Promise<void> {
  let lastAnswer = 'no answer';
  const isReady = async (): Promise<boolean> => {
    lastAnswer = await describeAnswer(url);
    return lastAnswer === READY_ANSWER;
  };
  const findFailure = (): string | undefined =>
    process.isRunning ? undefined : `${process.id} exited with ${process.exitCode}`;
  await waitUntil(isReady, { subject: url, timeoutMs: READY_TIMEOUT_MS, findFailure }).catch(
    (error: Error) => {
      const message = `${error.message}, last answer: ${lastAnswer}\n${process.output}`;
      throw new Error(message, { cause: error });
    },
  );
}

/** Tells what a readiness check was answered, or why it was not. */
async function describeAnswer(url: string): Promise<string> {
  try {
    const { status, text } = await sendControl(url, { timeoutMs: CHECK_TIMEOUT_MS });
    return status === 200 ? READY_ANSWER : `status ${status}, ${text}`;
  } catch (error) {
    return String(error);
  }
}
