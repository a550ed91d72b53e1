/**
 * Whose connection it is: Linux tells it in `/proc`.
 *
 * @module
 */
import { readdir, readFile, readlink } from 'node:fs/promises';

const LOCAL_ADDRESS_FIELD = 1;
const INODE_FIELD = 9;
const HEX = 16;

async function findInode(port: number): Promise<string | undefined> {
  const table = await readFile('/proc/net/tcp', 'utf8');
  const ending = `:${port.toString(HEX).toUpperCase().padStart(4, '0')}`;
  const rows = table.split('\n').map((line) => line.trim().split(/\s+/));
  return rows.find((row) => row[LOCAL_ADDRESS_FIELD]?.endsWith(ending))?.[INODE_FIELD];
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
 * @param port - the connection's local port at that process
 * @param pids - processes that may hold it
 * @returns the process's ID; undefined when it is none of them
 */
export async function findSocketOwner(
  port: number,
  pids: readonly number[],
): Promise<number | undefined> {
  const inode = await findInode(port);
  if (inode === undefined) return undefined;
  const held = await Promise.all(pids.map((pid) => hasSocket(pid, `socket:[${inode}]`)));
  return pids[held.indexOf(true)];
}
