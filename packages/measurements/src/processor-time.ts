import {readFileSync} from 'node:fs';

/** Linux reports a process's processor time in ticks of 10 ms. */
const MILLISECONDS_PER_TICK = 10;
/**
 * Positions of utime and stime among the fields after the command's closing bracket.
 */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Resources that a process has used since its start. */
export interface ProcessUsage {
  readonly processorMilliseconds: number;
  readonly residentMegabytes: number;
  /** Bytes read and written, including sockets and log lines. */
  readonly bytes: number;
}

const KILOBYTES_PER_MEGABYTE = 1_024;

/**
 * Reads a process's resource usage from `/proc`.
 *
 * @param pid Identifier of a process that the runner started.
 * @throws The file system's error if the process has exited.
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
