/**
 * Why a listener closes connections of clients.
 *
 * @module
 */

/** Limit for which a connection is closed before its client has left. */
export enum CloseCause {
  /** All connections are in use, or this one gave way to a new one. */
  Connections = 'connections',
  /** Its requests that wait for answers are too many. */
  Requests = 'requests',
  /** Too much of its input was read and waits to be parsed. */
  Input = 'input',
  /** Its body goes on after it was refused. */
  RefusedBody = 'refused_body',
}

/** Receives each close of a connection for a limit. */
export type CloseReport = (cause: CloseCause) => void;
