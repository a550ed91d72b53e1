/**
 * Client that writes to a platform stand-in as an operator does: it publishes documents and
 * lists hosts.
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

/** A fault to inject into a platform stand-in. */
export interface PlatformFault {
  readonly kind: 'none' | 'down' | 'stale' | 'slow';
  readonly factor?: number;
}

/** Number of reads that a platform stand-in has received, and of watches that wait there. */
export interface ReadCounts {
  readonly reads: number;
  readonly waiting: number;
}

/** Writes to one platform stand-in and injects faults into it. */
export class Operator {
  /** @param url - base URL of the stand-in */
  constructor(readonly url: string) {}

  /**
   * Publishes one key.
   *
   * @param key - key, such as `monsoonhall/fleet`
   * @param text - raw value, valid or not
   * @returns index of the write
   */
  async publish(key: string, text: string): Promise<number> {
    const url = `${this.url}/_standin/kv/${key}`;
    return (await sendJsonControl<{ index: number }>(url, { method: 'PUT', body: text })).index;
  }

  /** Deletes a key. @param key - the key. @returns index of the write */
  async remove(key: string): Promise<number> {
    const url = `${this.url}/_standin/kv/${key}`;
    return (await sendJsonControl<{ index: number }>(url, { method: 'DELETE' })).index;
  }

  /** Publishes the fleet document. @param document - it. @returns index of the write */
  publishFleet(document: FleetDocument): Promise<number> {
    return this.publish('monsoonhall/fleet', JSON.stringify(document));
  }

  /** Publishes a contract. @param document - the contract. @returns index of the write */
  publishContract(document: ContractDocument): Promise<number> {
    return this.publish(`monsoonhall/contracts/${document.account}`, JSON.stringify(document));
  }

  /** Publishes an entry of the host list. @param host - the entry. @returns index of the write */
  publishHost(host: HostEntry): Promise<number> {
    return this.publish(`hosts/${host.id}`, JSON.stringify(host));
  }

  /** Injects a fault in place of the current one. @param fault - the new fault */
  async setFault(fault: PlatformFault): Promise<void> {
    await sendJsonControl(`${this.url}/_standin/faults`, {
      method: 'POST',
      body: JSON.stringify(fault),
    });
  }

  /** Restores an older state. @param index - index of the last write to keep */
  async restore(index: number): Promise<void> {
    const body = JSON.stringify({ index });
    await sendJsonControl(`${this.url}/_standin/restore`, { method: 'POST', body });
  }

  /** @returns the number of reads and of waiting watches */
  readCounts(): Promise<ReadCounts> {
    return sendJsonControl(`${this.url}/_standin/reads`);
  }
}
