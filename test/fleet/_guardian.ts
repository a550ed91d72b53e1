/**
 * Sees to it that no process of a fleet outlives its starter.
 *
 * @module
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Knows which processes run. */
export class Guardian {
  readonly #process: ChildProcess;

  /** @param folder - temporary folder to be removed at the end */
  constructor(readonly folder: string) {
    const program = fileURLToPath(new URL('./_guardian_main.js', import.meta.url));
    this.#process = spawn(process.execPath, [program, folder], {
      stdio: ['pipe', 'ignore', 'inherit'],
    });
    this.#process.stdin?.on('error', () => undefined);
  }

  /** @param pid - a process that was started */
  add(pid: number): void {
    this.#process.stdin?.write(`+${pid}\n`);
  }

  /** @param pid - a process that has ended */
  remove(pid: number): void {
    if (this.#process.stdin?.writable) this.#process.stdin.write(`-${pid}\n`);
  }

  /** Ends it. */
  async close(): Promise<void> {
    const exited = new Promise((resolve) => {
      this.#process.once('exit', resolve);
    });
    this.#process.stdin?.end();
    await exited;
  }
}
