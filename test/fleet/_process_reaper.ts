/**
 * Client of the helper process that ends the processes of a fleet when their starter dies.
 *
 * @module
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Starts the helper process and tells it which processes of the fleet run. */
export class ProcessReaper {
  readonly #process: ChildProcess;

  /** @param folder - temporary folder that the helper process removes at its end */
  constructor(readonly folder: string) {
    const program = fileURLToPath(new URL('./_process_reaper_main.js', import.meta.url));
    this.#process = spawn(process.execPath, [program, folder], {
      stdio: ['pipe', 'ignore', 'inherit'],
    });
    this.#process.stdin?.on('error', () => undefined);
  }

  /** Registers a started process. @param pid - its process ID */
  add(pid: number): void {
    this.#process.stdin?.write(`+${pid}\n`);
  }

  /** Unregisters a process that has exited. @param pid - its process ID */
  remove(pid: number): void {
    if (this.#process.stdin?.writable) this.#process.stdin.write(`-${pid}\n`);
  }

  /** Ends the helper process, which kills all processes that are still registered. */
  async close(): Promise<void> {
    const exited = new Promise((resolve) => {
      this.#process.once('exit', resolve);
    });
    this.#process.stdin?.end();
    await exited;
  }
}
