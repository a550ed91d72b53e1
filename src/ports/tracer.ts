/**
 * Traces, as the application sees them: a span a hop.
 *
 * @module
 */

/** The hops of a request, which name the spans. */
export enum Hop {
  Caller = 'caller',
  EntryHost = 'entry_host',
  Owner = 'owner',
  Dispatcher = 'dispatcher',
  BackendServer = 'backend_server',
}

/** A running span. */
export interface Span {
  /** W3C `traceparent` that names this span as the parent of the next hop. */
  readonly traceparent: string;
  /** @param fields - attributes to be added */
  setAttributes(fields: Readonly<Record<string, string | number | boolean>>): void;
  /** Ends the span. @param error - the error kind, where the hop failed */
  end(error?: string): void;
}

/** Starts spans. */
export abstract class Tracer {
  /**
   * @param hop - which hop
   * @param parent - W3C `traceparent` of the hop before, where there is one
   * @returns the running span
   */
  abstract startSpan(hop: Hop, parent?: string): Span;
}
