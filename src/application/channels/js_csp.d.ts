/** Declares the parts of js-csp that the channel module uses; the library ships no types. */
declare module 'js-csp' {
  /** An untyped channel. */
  export interface RawChannel {
    closed: boolean;
    close(): void;
  }
  /** A channel operation that a process yields for the library to execute. */
  export type Instruction = object;
  export const CLOSED: null;
  export const NO_VALUE: unknown;
  export const buffers: {
    fixed(size: number): object;
    sliding(size: number): object;
  };
  export function chan(buffer?: object | number): RawChannel;
  export function take(channel: RawChannel): Instruction;
  export function put(channel: RawChannel, value: unknown): Instruction;
  export function offer(channel: RawChannel, value: unknown): boolean;
  export function putAsync(
    channel: RawChannel,
    value: unknown,
    callback?: (ok: boolean) => void,
  ): void;
  export function takeAsync(channel: RawChannel, callback: (value: unknown) => void): void;
  export function go(process: (...args: unknown[]) => Generator, args?: unknown[]): RawChannel;
}
