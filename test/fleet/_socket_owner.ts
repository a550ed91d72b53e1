/**
 * Whose connection it is: Linux tells it in `/proc`.
 *
 * @module
 */
import { readdir, readFile, readlink } from 'node:fs/promises';

const LOCAL_ADDRESS_FIELD = 1;
const REMOTE_ADDRESS_FIELD = 2;
const INODE_FIELD = 9;
const HEX = 16;

/** One end of a loopback connection. */
export interface ConnectionPorts {
  /** Port at the process that is sought. */
  readonly local: number;
  /** Port at the other end. Without it, a connection to elsewhere from the same port is taken. */
  readonly remote: number;
}

function formatPort(port: number): string {
  return `:${port.toString(HEX).toUpperCase().padStart(4, '0')}`;
}

async function findInode({ local, remote }: ConnectionPorts): Promise<string | undefined> {
  const table = await readFile('/proc/net/tcp', 'utf8');
  const rows = table.split('\n').map((line) => line.trim().split(/\s+/));
  const found = rows.find(
    (row) =>
      row[LOCAL_ADDRESS_FIELD]?.endsWith(formatPort(local)) &&
      row[REMOTE_ADDRESS_FIELD]?.endsWith(formatPort(remote)),
  );
  return found?.[INODE_FIELD];
}

async function hasSocket(pid: number, link: string): Promise<boolean> {
  const folder = `/proc/${pid}/fd`;
  const names = await readdir(folder).catch(() => []);
  const links = await Promise.all(
    names.map((name) => readlink(`${folder}/${name}`).catch(() => '')),
  );
  return links.includes(link);
}

/**
 * Finds the process that holds a loopback connection.
 *
 * @param ports - the connection's ports
 * @param pids - processes that may hold it
 * @returns the process's ID; undefined when it is none of them
 */
export async function findSocketOwner(
  ports: ConnectionPorts,
  pids: readonly number[],
): Promise<number | undefined> {
  const inode = await findInode(ports);
  if (inode === undefined) return undefined;
  const held = await Promise.all(pids.map((pid) => hasSocket(pid, `socket:[${inode}]`)));
  return pids[held.indexOf(true)];
}
