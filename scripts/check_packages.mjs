/**
 * Exits with 0 if `node_modules/` holds the packages that `package-lock.json` names, whenever either was
 * written. Optional packages may be missing: some are for other kinds of processors.
 */
import { readFileSync } from 'node:fs';

/** Lists the packages of a lock file by their folders. */
function readPackages(file) {
  return JSON.parse(readFileSync(file, 'utf8')).packages ?? {};
}

function isInstalled(wanted, present) {
  if (!present) return wanted.optional === true;
  return present.version === wanted.version && present.integrity === wanted.integrity;
}

/** Tells whether npm has recorded all packages as installed; it does so once it has finished. */
function areInstalled() {
  try {
    const present = readPackages('node_modules/.package-lock.json');
    return Object.entries(readPackages('package-lock.json'))
      .filter(([folder]) => folder !== '')
      .every(([folder, wanted]) => isInstalled(wanted, present[folder]));
  } catch {
    return false;
  }
}

process.exit(areInstalled() ? 0 : 1);
