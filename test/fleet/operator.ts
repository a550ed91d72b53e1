/**
 * What operators do: publish documents, list hosts.
 *
 * @module
 */
import { sendJsonControl } from './_control.js';
import type { ContractDocument, FleetDocument } from './documents.js';

/** One entry of the host list. */
export interface HostEntry {
  readonly id: string;
  readonly role: 'entry_host' | 'backend_server';
  readonly peerUrl?: string;
  readonly url?: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving';
}

/** A fault of a platform stand-in. */
export interface PlatformFault {
  readonly kind: 'none' | 'down' | 'stale' | 'slow';
  readonly factor?: number;
}

/** How many reads a platform stand-in has had, and how many watches wait there. */
export interface ReadCounts {
  readonly reads: number;
  readonly waiting: number;
}

/** Writes to one platform stand-in. */
export class Operator {
  /** @param url - the stand-in's base URL */
  constructor(readonly url: string) {}

  /**
   * Publishes one key.
   *
   * @param key - such as `monsoonhall/fleet`
   * @param text - the raw value, valid or not
   * @returns the write's index
   */
  async publish(key: string, text: string): Promise<number> {
    const url = `${this.url}/_standin/kv/${key}`;
    return (await sendJsonControl<{ index: number }>(url, { method: 'PUT', body: text })).index;
  }

  /** @param key - which key to delete. @returns the write's index */
  async remove(key: string): Promise<number> {
    const url = `${this.url}/_standin/kv/${key}`;
    return (await sendJsonControl<{ index: number }>(url, { method: 'DELETE' })).index;
  }

  /** @param document - the fleet document. @returns the write's index */
  publishFleet(document: FleetDocument): Promise<number> {
    return this.publish('monsoonhall/fleet', JSON.stringify(document));
  }

  /** @param document - a contract. @returns the write's index */
  publishContract(document: ContractDocument): Promise<number> {
    return this.publish(`monsoonhall/contracts/${document.account}`, JSON.stringify(document));
  }

  /** @param host - a host. @returns the write's index */
  publishHost(host: HostEntry): Promise<number> {
    return this.publish(`hosts/${host.id}`, JSON.stringify(host));
  }

  /** @param fault - what is wrong with the service from now on */
  async setFault(fault: PlatformFault): Promise<void> {
    await sendJsonControl(`${this.url}/_standin/faults`, {
      method: 'POST',
      body: JSON.stringify(fault),
    });
  }

  /** @param index - the older state that is put back */
  async putBack(index: number): Promise<void> {
    const body = JSON.stringify({ index });
    await sendJsonControl(`${this.url}/_standin/restore`, { method: 'POST', body });
  }

  /** @returns how often it was read */
  readCounts(): Promise<ReadCounts> {
    return sendJsonControl(`${this.url}/_standin/reads`);
  }
}
