import {readFileSync} from 'node:fs';

/** Linux counts a process's time in ticks of this many milliseconds. */
const MILLISECONDS_PER_TICK = 10;
/** Position of utime and stime behind the command's closing bracket. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What a process has used so far. */
export interface ProcessUsage {
  readonly processorMilliseconds: number;
  readonly residentMegabytes: number;
  /** Bytes read and written, sockets and log lines included. */
  readonly bytes: number;
}

const KILOBYTES_PER_MEGABYTE = 1_024;

/**
 * Reads what a process has used, from the kernel's own account.
 *
 * @param pid A process that the runner started.
 * @throws The system's error where the process is gone.
 * @example
 * ```ts
 * const before = readProcessUsage(host.keeper.pid);
 * ```
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const bytes = [...io.matchAll(/^[rw]char: (\d+)/gm)].map(([, count]) =>
    Number(count),
  );
  const resident = /VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? '0';
  return {
    processorMilliseconds: ticks * MILLISECONDS_PER_TICK,
    residentMegabytes: Math.round(Number(resident) / KILOBYTES_PER_MEGABYTE),
    bytes: bytes.reduce((sum, count) => sum + count, 0),
  };
}
