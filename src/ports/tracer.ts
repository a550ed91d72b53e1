/**
 * Defines tracing for the application, with one span per hop of a request.
 *
 * @module
 */

/** Hop of a request; names the span. */
export enum Hop {
  Caller = 'caller',
  EntryHost = 'entry_host',
  Owner = 'owner',
  Dispatcher = 'dispatcher',
  BackendServer = 'backend_server',
}

/** A running span. */
export interface Span {
  /** W3C `traceparent` that makes this span the parent of the next hop's span. */
  readonly traceparent: string;
  /** Adds attributes. @param fields - the attributes */
  setAttributes(fields: Readonly<Record<string, string | number | boolean>>): void;
  /** Ends the span. @param error - the error kind if the hop failed */
  end(error?: string): void;
}

/** Starts spans. */
export abstract class Tracer {
  /**
   * @param hop - the hop that the span covers
   * @param parent - W3C `traceparent` of the previous hop, if any
   * @returns the running span
   */
  abstract startSpan(hop: Hop, parent?: string): Span;
}
