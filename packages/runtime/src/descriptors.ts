import {readdirSync, readFileSync} from 'node:fs';

/** Soft limit, and the units that end its line. */
const LIMIT_PATTERN = /^Max open files +(\d+) /m;

/**
 * Number of file descriptors that this process may have open; undefined if the system
 * does not tell, or sets no limit.
 */
export function descriptorLimit(): number | undefined {
  const limit = LIMIT_PATTERN.exec(read('/proc/self/limits'))?.[1];
  return limit === undefined ? undefined : Number(limit);
}

/**
 * Number of file descriptors that this process has open; undefined if the system does
 * not tell, or none is left to ask with.
 */
export function openDescriptors(): number | undefined {
  try {
    // The directory's own descriptor is among them.
    return readdirSync('/proc/self/fd').length - 1;
  } catch {
    return undefined;
  }
}

function read(file: string): string {
  try {
    return readFileSync(file, 'latin1');
  } catch {
    return '';
  }
}
