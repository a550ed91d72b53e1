/**
 * Divides room by demand.
 *
 * @module
 */

/**
 * Computes max-min fair parts: nobody gets more than it demands while another
 * is short, and what all demands leave over is split evenly.
 *
 * @param room - what there is
 * @param demands - what each one demands
 * @returns each one's part; together exactly the room, or nothing if there is none
 */
export function computeFairTargets(
  room: number,
  demands: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const parts = new Map<string, number>();
  const sorted = [...demands].sort(([, a], [, b]) => a - b);
  let left = Math.max(0, room);
  sorted.forEach(([id, demand], index) => {
    const part = Math.min(demand, left / (sorted.length - index));
    parts.set(id, part);
    left -= part;
  });
  parts.forEach((part, id) => parts.set(id, part + left / parts.size));
  return parts;
}
